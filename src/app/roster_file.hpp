// The roster file, read again when it changes. Polling it is background work, since parsing a large file
// takes longer than a DNS answer may wait.
#pragma once

#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/types.hpp"

namespace gorsemount::app {

class RosterFile {
 public:
  // Entries are checked against the zones and operations of `settings`, which stay fixed.
  RosterFile(coordinator::Settings settings, std::string file)
      : settings_{std::move(settings)}, file_{std::move(file)} {}

  struct PollResult {
    std::string file;
    std::optional<std::vector<coordinator::RosterEntry>> entries;  // absent: unchanged or invalid
    std::vector<std::string> faults;  // why it is invalid; a repeated fault is reported once
  };
  // May be called from any thread, one call at a time. The file has changed if its mtime, size or inode has.
  [[nodiscard]] PollResult poll();
  // May be called from any thread. The next poll reads this file, changed or not.
  void set_file(std::string file);

 private:
  const coordinator::Settings settings_;
  std::mutex mutex_;  // guards file_ and force_read_
  std::string file_;
  bool force_read_ = true;
  std::string file_version_, last_fault_;
};

}  // namespace gorsemount::app
