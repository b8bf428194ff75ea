#include "app/audit_log.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <system_error>

#include "net/loop.hpp"

namespace gorsemount::app {

namespace {

std::int64_t micros_now() { return (net::monotonic_now() - Instant{}).micros(); }

}  // namespace

AuditLog::AuditLog(const std::string& file, std::string coordinator) : coordinator_{std::move(coordinator)} {
  if (file.empty()) return;
  file_.reset(std::fopen(file.c_str(), "ae"));
  if (!file_) throw std::system_error{errno, std::generic_category(), "records file " + file};
  std::setvbuf(file_.get(), nullptr, _IOLBF, 4096);  // whole lines, whenever the process is killed
  fmt::print(file_.get(), "{{\"t\":{},\"what\":\"coordinator_start\",\"coordinator\":\"{}\"}}\n",
             micros_now(), coordinator_);
}

void AuditLog::message(const coordinator::Message& m) {
  if (!file_) return;
  fmt::print(file_.get(),
             "{{\"t\":{},\"what\":\"message\",\"coordinator\":\"{}\",\"group\":{},\"lines\":{}}}\n",
             micros_now(), coordinator_, m.group.value, m.lines);
}

void AuditLog::in_force(ProxyId forwarder, std::uint64_t version, Span took, std::size_t changes) {
  if (!file_) return;
  fmt::print(file_.get(),
             "{{\"t\":{},\"what\":\"in_force\",\"coordinator\":\"{}\",\"forwarder\":{},\"version\":{},"
             "\"took\":{},\"changes\":{}}}\n",
             micros_now(), coordinator_, forwarder.value, version, took.seconds(), changes);
}

}  // namespace gorsemount::app
