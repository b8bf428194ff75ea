#include "app/roster_file.hpp"

#include <fmt/format.h>
#include <sys/stat.h>

#include <utility>

#include "config/settings.hpp"

namespace gorsemount::app {

void RosterFile::follow(std::string file) {
  const std::lock_guard lock{lock_};
  file_ = std::move(file), fresh_ = true;
}

RosterFile::Look RosterFile::look() {
  Look look;
  {
    const std::lock_guard lock{lock_};
    look.file = file_;
    if (std::exchange(fresh_, false)) mark_.clear(), fault_.clear();
  }
  struct stat now {};
  if (::stat(look.file.c_str(), &now) != 0) {
    if (std::exchange(fault_, "missing") != "missing") look.faults.push_back(look.file + ": can't be read");
    return look;
  }
  auto mark = fmt::format("{} {}.{} {}", now.st_ino, now.st_mtim.tv_sec, now.st_mtim.tv_nsec, now.st_size);
  if (mark == mark_) return look;
  mark_ = std::move(mark);
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(look.file, faults);
  auto read = config::read_roster(text, look.file, settings_);
  faults.insert(faults.end(), read.faults.begin(), read.faults.end());
  for (const auto& f : faults) look.faults.push_back(f.text());
  fault_ = look.faults.empty() ? "" : look.faults.front();
  if (faults.empty()) look.entries = std::move(read.entries);
  return look;
}

}  // namespace gorsemount::app
