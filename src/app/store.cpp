#include "app/store.hpp"

#include <fmt/format.h>
#include <sodium.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "app/exit_codes.hpp"
#include "config/settings.hpp"
#include "net/loop.hpp"
#include "recovery/fact_confidence.hpp"

namespace gorsemount::app {

store::MacKey read_store_key(const std::string& file) {
  std::vector<hcl::Fault> faults;
  std::string text = config::read_file(file, faults);
  if (!faults.empty()) throw std::runtime_error{faults.front().text()};
  text.erase(text.find_last_not_of(" \r\n") + 1);
  store::MacKey key{};
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, &end) != 0 ||
      size != key.size() || end != text.data() + text.size())
    throw std::runtime_error{file + ": expected 64 hex digits"};
  return key;
}

recovery::ClockReading read_clocks() {
  recovery::ClockReading c;
  std::ifstream{"/proc/sys/kernel/random/boot_id"} >> c.boot_id;
  c.monotonic_us = (net::monotonic_now() - Instant{}).micros();
  c.wall_us = std::chrono::duration_cast<std::chrono::microseconds>(
                  std::chrono::system_clock::now().time_since_epoch())
                  .count();
  return c;
}

int store_tool(const StoreOptions& o) {
  try {
    store::StoreSettings s;
    s.owner = o.who;
    if (!o.key_file.empty()) s.key = read_store_key(o.key_file);
    if (o.action == "forget") {
      const auto disk = store::open_directory(o.folder);  // refused while a coordinator has it
      for (const auto& name : disk->list()) disk->remove(name);
      disk->sync_directory();
      return kExitSuccess;
    }
    const auto disk = store::open_directory(o.folder, true);
    if (o.action == "verify") {
      bool good = true;
      for (const auto& c : store::verify(*disk, s)) {
        std::printf("%s\n",
                    fmt::format("{}: {} records, {} of {} bytes good, snapshot {}{}{}", c.file, c.records,
                                c.valid_bytes, c.bytes, c.snapshot_complete ? "whole" : "NOT WHOLE",
                                c.fault.empty() ? "" : "; ", c.fault)
                        .c_str());
        good = good && c.fault.empty() && c.snapshot_complete;
      }
      return good ? kExitSuccess : kExitInvalidConfig;
    }
    const auto now = read_clocks();
    const auto loaded = store::load(*disk, s, now);
    for (const auto& fault : loaded.faults) std::fprintf(stderr, "%s\n", fault.c_str());
    if (!loaded.empty_reason.empty()) {
      std::fprintf(stderr, "%s: %s\n", o.folder.c_str(), loaded.empty_reason.c_str());
      return kExitInvalidConfig;
    }
    const bool json = o.action == "export";
    if (!json)
      std::printf("%s\n",
                  fmt::format("generation {}, {} facts, last known to hold {} ago{}", loaded.generation,
                              loaded.entries.size(),
                              loaded.age.elapsed ? config::span_text(*loaded.age.elapsed) : "an unknown time",
                              loaded.age.clock_anomaly.empty() ? "" : "; " + loaded.age.clock_anomaly)
                      .c_str());
    constexpr const char* weights[] = {"acts", "hint", "nothing"};
    for (const auto& e : loaded.entries) {
      const auto weight = loaded.age.elapsed ? recovery::classify(e.subject.kind, *loaded.age.elapsed)
                                             : recovery::FactUse::hint;
      if (json) {
        nlohmann::json j{{"kind", recovery::name_of(e.subject.kind)},
                         {"name", e.subject.name},
                         {"machine", e.fact.instance},
                         {"figures", e.fact.figures},
                         {"weight", weights[static_cast<int>(weight)]}};
        for (const auto& [name, t] : e.fact.times)
          j["times_s"][name] = (t - Instant{} - Span::micros(now.monotonic_us)).seconds();
        std::printf("%s\n", j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
      } else {
        std::string figures;
        for (const auto& [name, value] : e.fact.figures) figures += fmt::format(" {}={:.4g}", name, value);
        for (const auto& [name, t] : e.fact.times)
          figures +=
              fmt::format(" {}={:+.1f}s", name, (t - Instant{} - Span::micros(now.monotonic_us)).seconds());
        std::printf("%s\n", fmt::format("  {:<8} {:<15} {:<24}{}", weights[static_cast<int>(weight)],
                                        recovery::name_of(e.subject.kind), e.subject.name, figures)
                                .c_str());
      }
    }
    return kExitSuccess;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
