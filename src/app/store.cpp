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
#include "recovery/belief.hpp"

namespace gorsemount::app {

store::Key read_store_key(const std::string& file) {
  std::vector<hcl::Fault> faults;
  std::string text = config::read_file(file, faults);
  if (!faults.empty()) throw std::runtime_error{faults.front().text()};
  text.erase(text.find_last_not_of(" \r\n") + 1);
  store::Key key{};
  std::size_t size = 0;
  const char* end = nullptr;
  if (sodium_hex2bin(key.data(), key.size(), text.data(), text.size(), nullptr, &size, &end) != 0 ||
      size != key.size() || end != text.data() + text.size())
    throw std::runtime_error{file + ": expected 64 hex digits"};
  return key;
}

recovery::Clocks read_clocks() {
  recovery::Clocks c;
  std::ifstream{"/proc/sys/kernel/random/boot_id"} >> c.boot;
  c.mono = (net::monotonic_now() - Instant{}).micros();
  c.wall = std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
               .count();
  return c;
}

int store_tool(const StoreOptions& o) {
  try {
    store::StoreSettings s;
    s.who = o.who;
    if (!o.key_file.empty()) s.key = read_store_key(o.key_file);
    if (o.action == "forget") {
      const auto disk = store::open_folder(o.folder);  // refused while a coordinator has it
      for (const auto& name : disk->list()) disk->remove(name);
      disk->sync_folder();
      return kWell;
    }
    const auto disk = store::open_folder(o.folder, true);
    if (o.action == "verify") {
      bool good = true;
      for (const auto& c : store::verify(*disk, s)) {
        std::printf("%s\n", fmt::format("{}: {} records, {} of {} bytes good, snapshot {}{}{}", c.file,
                                        c.records, c.good, c.bytes, c.whole_snapshot ? "whole" : "NOT WHOLE",
                                        c.fault.empty() ? "" : "; ", c.fault)
                                .c_str());
        good = good && c.fault.empty() && c.whole_snapshot;
      }
      return good ? kWell : kBadSettings;
    }
    const auto now = read_clocks();
    const auto loaded = store::load(*disk, s, now);
    for (const auto& fault : loaded.faults) std::fprintf(stderr, "%s\n", fault.c_str());
    if (!loaded.blank.empty()) {
      std::fprintf(stderr, "%s: %s\n", o.folder.c_str(), loaded.blank.c_str());
      return kBadSettings;
    }
    const bool json = o.action == "export";
    if (!json)
      std::printf("%s\n",
                  fmt::format("generation {}, {} facts, last known to hold {} ago{}", loaded.generation,
                              loaded.entries.size(),
                              loaded.age.span ? config::span_text(*loaded.age.span) : "an unknown time",
                              loaded.age.doubt.empty() ? "" : "; " + loaded.age.doubt)
                      .c_str());
    constexpr const char* weights[] = {"acts", "hint", "nothing"};
    for (const auto& e : loaded.entries) {
      const auto weight =
          loaded.age.span ? recovery::weigh(e.subject.kind, *loaded.age.span) : recovery::Weight::hint;
      if (json) {
        nlohmann::json j{{"kind", recovery::name_of(e.subject.kind)},
                         {"name", e.subject.name},
                         {"machine", e.fact.instance},
                         {"figures", e.fact.figures},
                         {"weight", weights[static_cast<int>(weight)]}};
        for (const auto& [name, t] : e.fact.times)
          j["times_s"][name] = (t - Instant{} - Span::micros(now.mono)).seconds();
        std::printf("%s\n", j.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace).c_str());
      } else {
        std::string figures;
        for (const auto& [name, value] : e.fact.figures) figures += fmt::format(" {}={:.4g}", name, value);
        for (const auto& [name, t] : e.fact.times)
          figures += fmt::format(" {}={:+.1f}s", name, (t - Instant{} - Span::micros(now.mono)).seconds());
        std::printf("%s\n", fmt::format("  {:<8} {:<15} {:<24}{}", weights[static_cast<int>(weight)],
                                        recovery::name_of(e.subject.kind), e.subject.name, figures)
                                .c_str());
      }
    }
    return kWell;
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kFailed;
  }
}

}  // namespace gorsemount::app
