#include "record/tools.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "record/codec.hpp"

namespace gorsemount::record {

namespace {

constexpr const char* kOutcomeNames[] = {"succeeded", "late", "errored", "rate_limited", "no_line", "open"};

std::string name_at(const std::vector<std::string>& names, std::size_t k) {
  return k < names.size() ? names[k] : std::to_string(k);
}

// Estimates of each worker process's start time by boot id, on the recorder's clock: report time less uptime.
std::map<std::string, std::vector<double>> process_starts(const Recording& r) {
  std::map<std::string, std::vector<double>> found;
  for (const auto& step : r.steps) {
    auto inputs = decode(step.inputs, Instant{});
    if (!std::holds_alternative<std::vector<coordinator::Input>>(inputs)) continue;
    for (const auto& input : std::get<std::vector<coordinator::Input>>(inputs))
      if (const auto* load = std::get_if<coordinator::LoadReport>(&input))
        found[load->sample.boot].push_back((load->requested_at - Instant{}).seconds() - load->sample.uptime);
  }
  return found;
}

double median(std::vector<double> v) {
  std::nth_element(v.begin(), v.begin() + static_cast<std::ptrdiff_t>(v.size() / 2), v.end());
  return v[v.size() / 2];
}

}  // namespace

std::string info(const Recording& r, const std::string& file) {
  std::size_t inputs = 0, orders = 0;
  for (const auto& s : r.steps) inputs += s.inputs.size(), orders += s.orders.size();
  std::map<int, std::size_t> outcomes;
  for (const auto& i : r.invocations) ++outcomes[i.outcome];
  const double length = r.steps.empty() ? 0 : static_cast<double>(r.steps.back().t - r.steps.front().t) / 1e6;
  std::string text = fmt::format("{}: schema {}, of {}, {} bytes{}\n", file, r.header.schema, r.header.name,
                                 r.size, r.cut ? ", truncated: read up to its last complete row" : "");
  text += fmt::format("  steps {} over {:.1f} s; heard {} bytes, ordered {} bytes\n", r.steps.size(), length,
                      inputs, orders);
  text += fmt::format("  invocations {}", r.invocations.size());
  for (const auto& [o, n] : outcomes) text += fmt::format(", {} {}", kOutcomeNames[o], n);
  text += fmt::format("\n  operations {}, proxies {}, workers {}; settings {} bytes, day {} bytes\n",
                      r.operations.size(), r.proxies.size(), r.workers.size(), r.header.settings.size(),
                      r.header.day.size());
  for (const auto& m : r.missing) text += "  missing: " + m + "\n";
  return text;
}

std::vector<std::string> verify(const Recording& r, const std::function<void(double)>& progress) {
  std::vector<std::string> faults;
  std::int64_t last = INT64_MIN;
  for (std::size_t k = 0; k < r.steps.size(); ++k) {
    const auto& s = r.steps[k];
    if (k % 1000 == 0) progress(static_cast<double>(k) / static_cast<double>(r.steps.size()));
    if (s.t < last)
      faults.push_back(fmt::format("step {}: its time {} lies before that of the previous step", k, s.t));
    last = s.t;
    if (!s.inputs.empty())
      if (const auto inputs = decode(s.inputs, Instant{}); std::holds_alternative<std::string>(inputs))
        faults.push_back(fmt::format("step {}: {}", k, std::get<std::string>(inputs)));
    if (!s.orders.empty() && XXH3_64bits(s.orders.data(), s.orders.size()) != s.digest)
      faults.push_back(fmt::format("step {}: its orders do not match their digest", k));
    if (faults.size() >= 20) break;
  }
  for (std::size_t k = 0; k < r.invocations.size() && faults.size() < 20; ++k) {
    const auto& i = r.invocations[k];
    if (!r.operations.empty() && i.operation >= r.operations.size())
      faults.push_back(fmt::format("invocation {}: unknown operation {}", k, i.operation));
    if (!r.workers.empty() && i.worker != 65535 && i.worker >= r.workers.size())
      faults.push_back(fmt::format("invocation {}: unknown worker {}", k, i.worker));
  }
  return faults;
}

Recording cut(const Recording& r, double from, double to) {
  Recording part = r;
  const std::int64_t begin =
      r.steps.empty() ? (r.invocations.empty() ? 0 : r.invocations.front().came) : r.steps.front().t;
  const auto out = [&](std::int64_t t) {
    const double at = static_cast<double>(t - begin) / 1e6;
    return at < from || at >= to;
  };
  std::erase_if(part.steps, [&](const StepRow& s) { return out(s.t); });
  std::erase_if(part.invocations, [&](const InvocationRow& i) { return out(i.came); });
  if (from > 0) part.missing.push_back(R"({"what":"beginning","count":1})");
  return part;
}

Merged merge(const Recording& a, const Recording& b) {
  Merged m;
  const auto of_a = process_starts(a), of_b = process_starts(b);
  std::vector<double> offsets;
  for (const auto& [boot, times] : of_b)
    if (const auto it = of_a.find(boot); it != of_a.end())
      offsets.push_back(median(it->second) - median(times));
  if (offsets.empty())
    throw std::runtime_error{
        "the two recordings have no worker in common, so their clocks can't be compared"};
  m.common = offsets.size(), m.offset = median(offsets);
  for (const double o : offsets) m.spread = std::max(m.spread, std::abs(o - m.offset));
  m.recording = a;
  // Invocations of the second recording are renumbered with the names of the first. Its steps belong to
  // another coordinator and are not merged.
  const auto by = static_cast<std::int64_t>(m.offset * 1e6);
  const auto number = [](std::vector<std::string>& names, const std::vector<std::string>& theirs,
                         std::size_t k) {
    const std::string name = name_at(theirs, k);
    const auto it = std::find(names.begin(), names.end(), name);
    if (it != names.end()) return static_cast<std::size_t>(it - names.begin());
    names.push_back(name);
    return names.size() - 1;
  };
  for (auto i : b.invocations) {
    i.came += by;
    i.operation = static_cast<std::uint8_t>(number(m.recording.operations, b.operations, i.operation));
    i.proxy = static_cast<std::uint16_t>(number(m.recording.proxies, b.proxies, i.proxy));
    if (i.worker != 65535)
      i.worker = static_cast<std::uint16_t>(number(m.recording.workers, b.workers, i.worker));
    m.recording.invocations.push_back(i);
  }
  std::stable_sort(m.recording.invocations.begin(), m.recording.invocations.end(),
                   [](const auto& x, const auto& y) { return x.came < y.came; });
  m.recording.missing.insert(m.recording.missing.end(), b.missing.begin(), b.missing.end());
  return m;
}

std::string export_as(const Recording& r, const std::string& form, const std::string& table) {
  const bool csv = form == "csv";
  std::string text;
  if (table == "steps") {
    if (csv) text = "t_us,digest,orders\n";
    for (const auto& s : r.steps) {
      if (csv) {
        std::string orders = s.orders;
        for (std::size_t k = 0; (k = orders.find('"', k)) != std::string::npos; k += 2)
          orders.insert(k, "\"");
        text += fmt::format("{},{:016x},\"{}\"\n", s.t, s.digest, orders);
      } else {
        text +=
            nlohmann::json{{"t_us", s.t}, {"digest", fmt::format("{:016x}", s.digest)}, {"orders", s.orders}}
                .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
            "\n";
      }
    }
    return text;
  }
  if (csv) text = "came_us,took_us,operation,proxy,worker,outcome,tries\n";
  for (const auto& i : r.invocations) {
    const std::string worker = i.worker == 65535 ? "" : name_at(r.workers, i.worker);
    if (csv) {
      text += fmt::format("{},{},{},{},{},{},{}\n", i.came, i.took, name_at(r.operations, i.operation),
                          name_at(r.proxies, i.proxy), worker, kOutcomeNames[i.outcome], i.tries);
    } else {
      text += nlohmann::json{{"came_us", i.came},
                             {"took_us", i.took},
                             {"operation", name_at(r.operations, i.operation)},
                             {"proxy", name_at(r.proxies, i.proxy)},
                             {"worker", worker},
                             {"outcome", kOutcomeNames[i.outcome]},
                             {"tries", i.tries}}
                  .dump() +
              "\n";
    }
  }
  return text;
}

void write(const Recording& r, const std::string& file) {
  Header header = r.header;
  header.schema = kSchema;
  Writer w{file, header};
  for (const auto& [kind, names] :
       {std::pair{"operation", &r.operations}, {"proxy", &r.proxies}, {"worker", &r.workers}})
    for (std::size_t k = 0; k < names->size(); ++k) w.name(kind, k, (*names)[k]);
  for (const auto& s : r.steps) w.step(s);
  for (const auto& i : r.invocations) w.invocation(i);
  for (const auto& m : r.missing) {
    const auto j = nlohmann::json::parse(m, nullptr, false);
    if (j.is_object()) w.missing(j.value("what", "something"), j.value("count", std::uint64_t{1}));
  }
  w.flush();
}

}  // namespace gorsemount::record
