// The roster's file, read again when it changed: a look is background work, since a long file takes longer to
// parse than an answer may wait.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::app {

class RosterFile {
 public:
  // Zones and operations are those of `settings` for good.
  RosterFile(coordinator::Settings settings, std::string file)
      : settings_{std::move(settings)}, file_{std::move(file)} {}

  struct Look {
    std::string file;
    std::optional<std::vector<coordinator::RosterEntry>> entries;  // absent: unchanged, or not to be used
    std::vector<std::string> faults;                               // why not; each fault is told once
  };
  // From any thread, one at a time. A file counts as changed when its time, size or inode did.
  [[nodiscard]] Look look();
  // From any thread: the next look reads this file, changed or not.
  void follow(std::string file);

 private:
  const coordinator::Settings settings_;
  std::mutex lock_;  // of file_ and fresh_
  std::string file_;
  bool fresh_ = true;
  std::string mark_, fault_;
};

}  // namespace gorsemount::app
