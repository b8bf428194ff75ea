#include "app/audit_log.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <system_error>

#include "net/loop.hpp"

namespace gorsemount::app {

namespace {

std::int64_t monotonic_micros() { return (net::monotonic_now() - Instant{}).micros(); }

}  // namespace

AuditLog::AuditLog(const std::string& file, std::string coordinator) : coordinator_{std::move(coordinator)} {
  if (file.empty()) return;
  file_.reset(std::fopen(file.c_str(), "ae"));
  if (!file_) throw std::system_error{errno, std::generic_category(), "records file " + file};
  std::setvbuf(file_.get(), nullptr, _IOLBF, 4096);  // line-buffered: a kill leaves only complete lines
  fmt::print(file_.get(), "{{\"t\":{},\"what\":\"coordinator_start\",\"coordinator\":\"{}\"}}\n",
             monotonic_micros(), coordinator_);
}

void AuditLog::message(const coordinator::Message& message) {
  if (!file_) return;
  fmt::print(file_.get(),
             "{{\"t\":{},\"what\":\"message\",\"coordinator\":\"{}\",\"group\":{},\"lines\":{}}}\n",
             monotonic_micros(), coordinator_, message.group.value, message.lines);
}

void AuditLog::table_applied(ProxyId forwarder, std::uint64_t version, Span latency, std::size_t changes) {
  if (!file_) return;
  fmt::print(file_.get(),
             "{{\"t\":{},\"what\":\"in_force\",\"coordinator\":\"{}\",\"forwarder\":{},\"version\":{},"
             "\"took\":{},\"changes\":{}}}\n",
             monotonic_micros(), coordinator_, forwarder.value, version, latency.seconds(), changes);
}

}  // namespace gorsemount::app
