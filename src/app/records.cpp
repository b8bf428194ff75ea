#include "app/records.hpp"

#include <fmt/format.h>

#include <cerrno>
#include <system_error>

#include "net/loop.hpp"

namespace gorsemount::app {

namespace {

std::int64_t micros_now() { return (net::monotonic_now() - Instant{}).micros(); }

}  // namespace

Records::Records(const std::string& file) {
  if (file.empty()) return;
  file_.reset(std::fopen(file.c_str(), "ae"));
  if (!file_) throw std::system_error{errno, std::generic_category(), "records file " + file};
  std::setvbuf(file_.get(), nullptr, _IOLBF, 4096);  // whole lines, whenever the process is killed
}

void Records::message(const coordinator::Message& m) {
  if (!file_) return;
  fmt::print(file_.get(), "{{\"t\":{},\"what\":\"message\",\"group\":{},\"lines\":{}}}\n", micros_now(), m.group.value,
             m.lines);
}

void Records::published(const coordinator::Published& p) {
  if (!file_) return;
  fmt::print(file_.get(), "{{\"t\":{},\"what\":\"published\",\"version\":{}}}\n", micros_now(), p.version);
}

}  // namespace gorsemount::app
