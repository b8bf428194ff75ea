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
  recovery::ClockReading clocks;
  std::ifstream{"/proc/sys/kernel/random/boot_id"} >> clocks.boot_id;
  clocks.monotonic_us = (net::monotonic_now() - Instant{}).micros();
  clocks.wall_us = std::chrono::duration_cast<std::chrono::microseconds>(
                       std::chrono::system_clock::now().time_since_epoch())
                       .count();
  return clocks;
}

int store_tool(const StoreOptions& options) {
  try {
    store::StoreSettings settings;
    settings.owner = options.owner;
    if (!options.key_file.empty()) settings.key = read_store_key(options.key_file);
    if (options.action == "forget") {
      const auto disk =
          store::open_directory(options.folder);  // fails while a coordinator has the store open
      for (const auto& name : disk->list()) disk->remove(name);
      disk->sync_directory();
      return kExitSuccess;
    }
    const auto disk = store::open_directory(options.folder, true);
    if (options.action == "verify") {
      bool all_valid = true;
      for (const auto& check : store::verify(*disk, settings)) {
        std::printf("%s\n", fmt::format("{}: {} records, {} of {} bytes valid, snapshot {}{}{}", check.file,
                                        check.records, check.valid_bytes, check.bytes,
                                        check.snapshot_complete ? "whole" : "NOT WHOLE",
                                        check.fault.empty() ? "" : "; ", check.fault)
                                .c_str());
        all_valid = all_valid && check.fault.empty() && check.snapshot_complete;
      }
      return all_valid ? kExitSuccess : kExitInvalidConfig;
    }
    const auto now = read_clocks();
    const auto loaded = store::load(*disk, settings, now);
    for (const auto& error : loaded.faults) std::fprintf(stderr, "%s\n", error.c_str());
    if (!loaded.empty_reason.empty()) {
      std::fprintf(stderr, "%s: %s\n", options.folder.c_str(), loaded.empty_reason.c_str());
      return kExitInvalidConfig;
    }
    const bool json = options.action == "export";
    if (!json)
      std::printf("%s\n",
                  fmt::format("generation {}, {} facts, last confirmed {} ago{}", loaded.generation,
                              loaded.entries.size(),
                              loaded.age.elapsed ? config::span_text(*loaded.age.elapsed) : "an unknown time",
                              loaded.age.clock_anomaly.empty() ? "" : "; " + loaded.age.clock_anomaly)
                      .c_str());
    constexpr const char* use_names[] = {"acts", "hint", "nothing"};
    for (const auto& entry : loaded.entries) {
      const auto use = loaded.age.elapsed ? recovery::classify(entry.subject.kind, *loaded.age.elapsed)
                                          : recovery::FactUse::hint;
      if (json) {
        nlohmann::json object{{"kind", recovery::name_of(entry.subject.kind)},
                              {"name", entry.subject.name},
                              {"machine", entry.fact.instance},
                              {"figures", entry.fact.figures},
                              {"weight", use_names[static_cast<int>(use)]}};
        for (const auto& [name, time] : entry.fact.times)
          object["times_s"][name] = (time - Instant{} - Span::micros(now.monotonic_us)).seconds();
        std::printf("%s\n", object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
      } else {
        std::string figures;
        for (const auto& [name, value] : entry.fact.figures)
          figures += fmt::format(" {}={:.4g}", name, value);
        for (const auto& [name, time] : entry.fact.times)
          figures += fmt::format(" {}={:+.1f}s", name,
                                 (time - Instant{} - Span::micros(now.monotonic_us)).seconds());
        std::printf("%s\n", fmt::format("  {:<8} {:<15} {:<24}{}", use_names[static_cast<int>(use)],
                                        recovery::name_of(entry.subject.kind), entry.subject.name, figures)
                                .c_str());
      }
    }
    return kExitSuccess;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
