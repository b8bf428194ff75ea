// What the coordinator sent, for an auditor: JSON lines with the monotonic time in microseconds.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "coordinator/types.hpp"

namespace gorsemount::app {

class Records {
 public:
  Records(const std::string& file, std::string coordinator);  // none if empty; throws std::system_error
  void message(const coordinator::Message& message);

 private:
  struct Close {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::string coordinator_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace gorsemount::app
