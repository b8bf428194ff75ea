// Log of what the coordinator sent, read by the auditor: JSON lines with monotonic time in microseconds.
#pragma once

#include <cstdio>
#include <memory>
#include <string>

#include "coordinator/types.hpp"

namespace gorsemount::app {

class AuditLog {
 public:
  AuditLog(const std::string& file,
           std::string coordinator);  // disabled if `file` is empty; throws std::system_error
  void message(const coordinator::Message& message);
  // A forwarder has applied a table version, `latency` after it was delivered.
  void table_applied(ProxyId forwarder, std::uint64_t version, Span latency, std::size_t changes);

 private:
  struct Close {
    void operator()(std::FILE* f) const { std::fclose(f); }
  };
  std::string coordinator_;
  std::unique_ptr<std::FILE, Close> file_;
};

}  // namespace gorsemount::app
