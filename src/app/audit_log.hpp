// What the coordinator sent, for an auditor: JSON lines with the monotonic time in microseconds.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "coordinator/types.hpp"

namespace gorsemount::app {

class AuditLog {
 public:
  AuditLog(const std::string& file, std::string coordinator);  // none if empty; throws std::system_error
  void message(const coordinator::Message& message);
  // A forwarder holds a version, so long after it was handed over.
  void in_force(ProxyId forwarder, std::uint64_t version, Span took, std::size_t changes);

 private:
  struct Close {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::string coordinator_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace gorsemount::app
