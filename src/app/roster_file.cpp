#include "app/roster_file.hpp"

#include <fmt/format.h>
#include <sys/stat.h>

#include <utility>

#include "config/settings.hpp"

namespace gorsemount::app {

void RosterFile::set_file(std::string file) {
  const std::lock_guard lock{mutex_};
  file_ = std::move(file), force_read_ = true;
}

RosterFile::PollResult RosterFile::poll() {
  PollResult result;
  {
    const std::lock_guard lock{mutex_};
    result.file = file_;
    if (std::exchange(force_read_, false)) file_version_.clear(), last_fault_.clear();
  }
  struct stat status {};
  if (::stat(result.file.c_str(), &status) != 0) {
    if (std::exchange(last_fault_, "missing") != "missing")
      result.faults.push_back(result.file + ": can't be read");
    return result;
  }
  auto file_version = fmt::format("{} {}.{} {}", status.st_ino, status.st_mtim.tv_sec, status.st_mtim.tv_nsec,
                                  status.st_size);
  if (file_version == file_version_) return result;
  file_version_ = std::move(file_version);
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(result.file, faults);
  auto roster = config::read_roster(text, result.file, settings_);
  faults.insert(faults.end(), roster.faults.begin(), roster.faults.end());
  for (const auto& fault : faults) result.faults.push_back(fault.text());
  last_fault_ = result.faults.empty() ? "" : result.faults.front();
  if (faults.empty()) result.entries = std::move(roster.entries);
  return result;
}

}  // namespace gorsemount::app
