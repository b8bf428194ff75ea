#include "script/day.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace gorsemount::script {

namespace {

// A day with the extra hour when daylight saving time ends.
const Span kMaxDuration = Span::seconds(25 * 3600);

Span read_span(config::Section& in, const char* name, std::optional<double> fallback) {
  return in.span(name, fallback ? std::optional{Span::seconds(*fallback)} : std::nullopt, Span{},
                 kMaxDuration);
}

constexpr unsigned kAddressesPerPort = 250;  // of one zone; further workers use the next port

config::Section make_section(const hcl::Block& b, const config::Section& root) {
  return {b.body, b.at, b.labels.empty() ? b.type : b.type + "." + b.labels[0].first, *root.findings()};
}

Address loopback(unsigned a, unsigned b, unsigned c) {
  Address address;
  address.bytes = {127, static_cast<std::uint8_t>(a), static_cast<std::uint8_t>(b),
                   static_cast<std::uint8_t>(c)};
  return address;
}

std::string read_zone_name(config::Section& in, const Day& day) {
  return day.zones[in.choice("zone", day.zones, std::nullopt)];
}

void read_fleet(config::Section& root, Day& day) {
  const auto read_zone = [&](config::Section& in) { return read_zone_name(in, day); };
  for (const auto* b : root.blocks("operation", 1)) {
    config::Section in = make_section(*b, root);
    DayOperation operation;
    operation.name = b->labels[0].first;
    const std::vector<std::string> effects{"idempotent", "fingerprinted", "side-effecting"};
    operation.effect = effects[in.choice("effect", effects, std::nullopt)];
    operation.share = in.number("share", 1, {0, 1e6});
    operation.work = read_span(in, "work", std::nullopt);
    operation.latency_objective = read_span(in, "latency_objective", std::nullopt);
    operation.integration_timeout = read_span(in, "integration_timeout", std::nullopt);
    operation.billed_value = in.number("billed_value", 1, {0, 1e6});
    in.finish();
    day.operations.push_back(operation);
  }
  for (const auto* b : root.blocks("workers", 1)) {
    config::Section in = make_section(*b, root);
    DayWorkers w;
    w.zone = read_zone(in);
    w.count = static_cast<int>(in.number("count", std::nullopt, {1, 2500, true}));
    w.cores = in.number("cores", 2, {1, 256, true}), w.speed = in.number("speed", 1, {0.01, 100});
    w.slots = static_cast<int>(in.number("slots", 0, {0, 100000, true}));
    w.connect_cost = read_span(in, "connect_cost", 0), w.loss = in.number("loss", 0, {0, 10}),
    w.cancels = in.flag("cancels", true);
    w.queue_most = static_cast<int>(in.number("queue_most", 64, {0, 100000, true}));
    in.finish();
    day.workers.push_back(w);
  }
  for (const auto* b : root.blocks("clients", 1)) {
    config::Section in = make_section(*b, root);
    DayClients c;
    c.zone = read_zone(in);
    c.count = static_cast<int>(in.number("count", std::nullopt, {1, 250, true}));
    c.rate = in.number("rate", 1, {0, 1000}, "invocations/s"),
    c.by_address = in.number("by_address", 0, {0, 1});
    c.disobedient = static_cast<int>(in.number("disobedient", 0, {0, 250, true}));
    in.finish();
    day.clients.push_back(c);
  }
  for (const auto* b : root.blocks("forwarders", 1)) {
    config::Section in = make_section(*b, root);
    DayForwarders f;
    f.zone = read_zone(in);
    f.count = static_cast<int>(in.number("count", std::nullopt, {1, 250, true}));
    f.clients = static_cast<int>(in.number("clients", 0, {0, 250, true}));
    f.rate = in.number("rate", 1, {0, 1000}, "invocations/s"), f.two_choice = in.flag("two_choice", false);
    in.finish();
    day.forwarders.push_back(f);
  }
  for (const auto* b : root.blocks("coordinator", 1)) {
    config::Section in = make_section(*b, root);
    day.coordinators.push_back(read_zone(in));
    in.finish();
  }
}

void read_events(config::Section& root, Day& day) {
  for (const auto* b : root.blocks("phase", 1)) {
    config::Section in = make_section(*b, root);
    Phase p{b->labels[0].first, read_span(in, "at", std::nullopt), in.number("rate", 1, {0, 100})};
    if (!day.phases.empty() && p.at <= day.phases.back().at)
      in.fault(in.place("at"), "phases must be in chronological order");
    in.finish();
    day.phases.push_back(p);
  }
  const std::vector<std::string> kinds{"crash",
                                       "hang",
                                       "errors",
                                       "slow",
                                       "silent",
                                       "refuse",
                                       "drain",
                                       "forwarder_restart",
                                       "forwarder_refuse",
                                       "forwarder_slow",
                                       "forwarder_lie",
                                       "forwarder_half",
                                       "streams",
                                       "cut_link",
                                       "slow_link",
                                       "stale_list",
                                       "late_reports",
                                       "ageing",
                                       "false_reports"};
  for (const auto* b : root.blocks("trouble", 1)) {
    config::Section in = make_section(*b, root);
    InjectedFault t;
    t.name = b->labels[0].first;
    t.kind = static_cast<InjectedFaultKind>(in.choice("kind", kinds, std::nullopt));
    std::vector<std::string> zones = day.zones;
    zones.emplace_back("");
    t.zone = zones[in.choice("zone", zones, zones.size() - 1)];
    t.at = read_span(in, "at", std::nullopt), t.lasts = read_span(in, "lasts", std::nullopt);
    t.count = static_cast<int>(in.number("count", 0, {0, 2500, true}));
    if (std::string to = in.text("to", ""); !to.empty()) {
      if (std::find(day.zones.begin(), day.zones.end(), to) == day.zones.end())
        in.fault(in.place("to"),
                 fmt::format("unknown zone \"{}\"; known zones: {}", to, fmt::join(day.zones, ", ")));
      t.to = std::move(to);
    }
    t.one_way = in.flag("one_way", false);
    if ((t.kind == InjectedFaultKind::cut_link || t.kind == InjectedFaultKind::slow_link) && t.zone.empty())
      in.fault(in.at(), "a fault of a link needs a 'zone'");
    t.part = in.number("part", 1, {0, 1}), t.size = in.number("size", 1, {0, 1000});
    in.finish();
    day.troubles.push_back(t);
  }
  std::vector<std::string> names;
  for (std::size_t k = 0; k < day.coordinators.size(); ++k) names.push_back("pwani-" + std::to_string(k + 1));
  for (const auto* b : root.blocks("kill", 1)) {
    config::Section in = make_section(*b, root);
    if (names.empty()) break;
    if (std::find(names.begin(), names.end(), b->labels[0].first) == names.end())
      in.fault(b->labels[0].second, fmt::format("unknown coordinator \"{}\"; known coordinators: {}",
                                                b->labels[0].first, fmt::join(names, ", ")));
    CoordinatorOutage outage{b->labels[0].first, read_span(in, "at", std::nullopt),
                             read_span(in, "lasts", std::nullopt), in.flag("pause", false),
                             in.flag("planned", false)};
    const auto times = static_cast<int>(in.number("times", 1, {1, 1000, true}));
    const Span every = read_span(in, "every", 0);
    if (times > 1 && every <= outage.lasts)
      in.fault(in.place("times"), "'times' above 1 needs an 'every' above 'lasts'");
    for (int k = 0; k < times; ++k) day.kills.push_back(outage), outage.at = outage.at + every;
    in.finish();
  }
  for (const auto* b : root.blocks("person", 1)) {
    using Action = coordinator::OperatorCommand::Action;
    config::Section in = make_section(*b, root);
    const std::vector<std::string> orders{"drain zone", "undrain zone", "hold", "release"};
    constexpr Action actions[] = {Action::drain_zone, Action::undrain_zone, Action::hold, Action::release};
    const std::size_t k = in.choice("order", orders, std::nullopt);
    ScriptedCommand scripted_command;
    if (k < 2) scripted_command.command.name = read_zone_name(in, day);
    scripted_command.command.action = actions[k], scripted_command.at = read_span(in, "at", std::nullopt);
    scripted_command.text = orders[k] + (k < 2 ? " " + scripted_command.command.name : "");
    in.finish();
    day.operator_commands.push_back(std::move(scripted_command));
  }
  config::Section cuts = root.block("cuts");
  day.cuts.count = static_cast<int>(cuts.number("count", 0, {0, 1000, true}));
  day.cuts.first = read_span(cuts, "first", 2), day.cuts.every = read_span(cuts, "every", 1),
  day.cuts.lasts = read_span(cuts, "lasts", 0.4);
  day.cuts.bytes_most = static_cast<int>(cuts.number("bytes_most", 500, {1, 1e6, true}, "bytes"));
  day.cuts.pause = cuts.flag("pause", false);
  if (day.cuts.count > 0 && (day.forwarders.empty() || !day.shared || day.cuts.every <= day.cuts.lasts))
    cuts.fault(cuts.at(), "cuts need forwarders, a shared fleet, and 'every' above 'lasts'");
  cuts.finish();
}

}  // namespace

Day read_day(const std::string& text, const std::string& file, config::Findings& findings) {
  findings.file = file;
  Day day;
  const hcl::Body body = hcl::parse(text, file, findings.faults);
  if (!findings.faults.empty()) return day;
  config::Section root{body, {1, 1}, "", findings};
  for (const auto* b : root.blocks("zone", 1)) {
    config::Section zone = make_section(*b, root);
    day.zones.push_back(b->labels[0].first);
    for (const auto& [name, at] : zone.texts("near")) day.near[day.zones.back()].push_back(name);
    zone.finish();
  }
  if (day.zones.empty() || day.zones.size() > 8) {
    root.fault(root.at(), "expected 1 to 8 zones");
    return day;
  }
  config::Section section = root.block("day");
  day.name = section.text("name", "day"), day.origin = section.text("origin", "refill.pwani.test");
  day.seed = static_cast<std::uint64_t>(section.number("seed", 1, {0, 1e15, true}));
  day.length = section.span("length", std::nullopt, Span::seconds(1), kMaxDuration);
  day.settle = read_span(section, "settle", 3);
  day.shared = section.flag("shared", false);
  day.lease = read_span(section, "lease", 1);
  day.record = section.flag("record", false), day.keeps = section.flag("keeps", false);
  day.churn = read_span(section, "churn", 0);
  section.finish();
  config::Section rules = root.block("rules");
  day.drain_grace = read_span(rules, "drain_grace", 5), day.unserved = read_span(rules, "unserved", 3);
  day.cold_for = read_span(rules, "cold_for", 10), day.tip_after = read_span(rules, "tip_after", 2);
  day.cold_from = rules.number("cold_from", 0.2, {0.01, 1}),
  day.tip_multiple = rules.number("tip_multiple", 3, {1, 100});
  day.backlog = rules.number("backlog", 2000, {1, 1e9}, "lines");
  day.lines_per_second = rules.number("lines_per_second", 2000, {1, 1e9}, "lines/s");
  day.messages_most = static_cast<int>(rules.number("messages_most", 30, {0, 1e6, true}));
  day.messages_window = read_span(rules, "messages_window", 10);
  day.levels = rules.flag("levels", false);
  day.spill = rules.flag("spill", false);
  day.fleet_rate = rules.number("fleet_rate", 0, {0, 1e9}, "invocations/s");
  rules.finish();
  read_fleet(root, day);
  read_events(root, day);
  config::Section unsafe = root.block("unsafe");
  day.unsafe.repeat_all = unsafe.flag("repeat_all", false);
  day.unsafe.drain_untold = unsafe.flag("drain_untold", false);
  day.unsafe.no_fence = unsafe.flag("no_fence", false);
  day.unsafe.fixed_weights = unsafe.flag("fixed_weights", false);
  day.unsafe.backlog_judged = unsafe.number("backlog_judged", 0, {0, 1e9}, "lines");
  day.unsafe.no_ramp = unsafe.flag("no_ramp", false);
  unsafe.finish();
  if (day.operations.empty() || day.workers.empty() || day.clients.empty() || day.coordinators.empty())
    root.fault(root.at(), "expected at least one block each of: operation, workers, clients, coordinator");
  if (day.phases.empty()) day.phases.push_back({"day", Span{}, 1});
  root.finish();
  return day;
}

Endpoint AddressPlan::worker(std::size_t zone, std::size_t number) const {
  const auto n = static_cast<unsigned>(number - 1);
  return {loopback(octet, static_cast<unsigned>(zone + 1), 1 + n % kAddressesPerPort),
          static_cast<std::uint16_t>(9000 + n / kAddressesPerPort)};
}
Address AddressPlan::client(std::size_t zone, std::size_t number) const {
  return loopback(octet + 1 + static_cast<unsigned>(zone), 0, static_cast<unsigned>(number));
}
Address AddressPlan::forwarder(std::size_t zone, std::size_t led_by, std::size_t number) const {
  return loopback(octet + 1 + static_cast<unsigned>(zone), static_cast<unsigned>(led_by),
                  static_cast<unsigned>(number));
}
Endpoint AddressPlan::coordinator(std::size_t number) const {
  return {loopback(octet, 0, static_cast<unsigned>(number)), 5300};
}
Prefix AddressPlan::clients_of(std::size_t zone) const {
  return {loopback(octet + 1 + static_cast<unsigned>(zone), 0, 0), 16};
}

std::string worker_name(const Day& day, std::size_t zone, std::size_t number) {
  return day.zones[zone] + "-" + std::to_string(number);
}

std::vector<ForwarderInstance> forwarders_of(const Day& day, const AddressPlan& places) {
  std::vector<ForwarderInstance> all;
  std::vector<std::size_t> numbers(day.zones.size(), 0);
  for (const auto& f : day.forwarders) {
    const auto zone =
        static_cast<std::size_t>(std::find(day.zones.begin(), day.zones.end(), f.zone) - day.zones.begin());
    for (int k = 0; k < f.count; ++k) {
      const std::size_t n = ++numbers[zone], led_by = 1 + all.size() % day.coordinators.size();
      all.push_back(
          {f.zone + "-front-" + std::to_string(n), f.zone, led_by, places.forwarder(zone, led_by, n), f});
    }
  }
  return all;
}

std::vector<RosterLine> roster_of(const Day& day, const AddressPlan& places) {
  std::vector<RosterLine> lines;
  std::vector<std::size_t> numbers(day.zones.size(), 0);
  for (const auto& w : day.workers) {
    const auto zone =
        static_cast<std::size_t>(std::find(day.zones.begin(), day.zones.end(), w.zone) - day.zones.begin());
    for (int k = 0; k < w.count; ++k) {
      const std::size_t n = ++numbers[zone];
      lines.push_back({worker_name(day, zone, n), w.zone, places.worker(zone, n), w.cores * w.speed, false});
    }
  }
  return lines;
}

std::string roster_text(const std::vector<RosterLine>& lines) {
  std::string text;
  for (const auto& l : lines)
    text += fmt::format(
        "backend \"{}\" {{\n  zone = \"{}\"\n  address = \"{}\"\n  weight = {}\n  state = \"{}\"\n}}\n",
        l.name, l.zone, l.at.text(), l.weight, l.draining ? "draining" : "ready");
  return text;
}

std::string coordinator_settings(const Day& day, const AddressPlan& places, std::size_t number,
                                 const std::string& folder) {
  const auto s = [](Span span) { return fmt::format("{}ms", span.micros() / 1000); };
  std::string text = fmt::format(
      "coordinator {{\n  name = \"pwani-{}\"\n  zone = \"{}\"\n  coordinators = {}\n  seed = {}\n  levels = "
      "\"{}\"\n  spill = {}\n}}\n",
      number, day.coordinators[number - 1], day.coordinators.size(), day.seed * 100 + number,
      day.levels ? "share" : "off", day.spill);
  for (const auto& zone : day.zones) {
    const auto near = day.near.find(zone);
    text += near == day.near.end() ? fmt::format("zone \"{}\" {{}}\n", zone)
                                   : fmt::format("zone \"{}\" {{\n  near = [\"{}\"]\n}}\n", zone,
                                                 fmt::join(near->second, "\", \""));
  }
  for (const auto& operation : day.operations)
    text += fmt::format(
        "operation \"{}\" {{\n  effect = \"{}\"\n  latency_objective = \"{}\"\n"
        "  integration_timeout = \"{}\"\n  billed_value = {}\n}}\n",
        operation.name, operation.effect, s(operation.latency_objective), s(operation.integration_timeout),
        operation.billed_value);
  text += fmt::format(
      "rules {{\n  unserved = \"{}\"\n  drain_grace = \"{}\"\n  cold_from = {}\n  cold_for = \"{}\"\n"
      "  tip_multiple = {}\n}}\n",
      s(day.unserved), s(day.drain_grace), day.unsafe.no_ramp ? 1 : day.cold_from, s(day.cold_for),
      day.tip_multiple);
  text += fmt::format(
      "channel {{\n  backlog = {}\n  lines_per_second = {}\n  messages_most = {}\n"
      "  messages_window = \"{}\"\n}}\n",
      day.backlog, day.lines_per_second, day.messages_most, s(day.messages_window));
  text += fmt::format("dns {{\n  origin = \"{}\"\n  listen = \"{}\"\n}}\n", day.origin,
                      places.coordinator(number).text());
  for (std::size_t z = 0; z < day.zones.size(); ++z) {
    double rate = 0;
    for (const auto& c : day.clients)
      if (c.zone == day.zones[z]) rate += c.rate * c.count;
    text +=
        fmt::format("group \"{}-clinics\" {{\n  zone = \"{}\"\n  sources = [\"{}\"]\n  usual_rate = {}\n}}\n",
                    day.zones[z], day.zones[z], places.clients_of(z).text(), rate);
  }
  for (const auto& f : forwarders_of(day, places))
    if (f.led_by == number || day.shared)
      text += fmt::format(
          "forwarder \"{}\" {{\n  zone = \"{}\"\n  runtime = \"{}:9999\"\n  sources = [\"{}\"]\n  usual_rate "
          "= {}\n}}\n",
          f.name, f.zone, f.at.text(), Prefix{masked(f.at, 24), 24}.text(),
          std::max(1.0, f.kind.rate * f.kind.clients / f.kind.count));
  text +=
      fmt::format("runtime {{\n  fleet_rate = {}\n}}\noperators {{\n  socket = \"{}/pwani-{}.sock\"\n}}\n",
                  day.fleet_rate / static_cast<double>(day.coordinators.size()), folder, number);
  if (day.shared) {
    text += fmt::format(
        "cluster {{\n  member = \"pwani-{}\"\n  key_file = \"{}/keys\"\n  shards = 6\n  lease = \"{}\"\n}}\n",
        number, folder, s(day.lease));
    for (std::size_t k = 1; k <= day.coordinators.size(); ++k)
      text += fmt::format("member \"pwani-{}\" {{\n  address = \"{}:7000\"\n}}\n", k,
                          places.coordinator(k).address.text());
  }
  if (day.record && folder != ".")
    text += fmt::format("recording {{\n  file = \"{}/pwani-{}.h5\"\n}}\n", folder, number);
  if (day.keeps && folder != ".")
    text += fmt::format("store {{\n  folder = \"{}/pwani-{}.store\"\n}}\n", folder, number);
  text += fmt::format(
      "roster {{\n  file = \"{0}/roster.hcl\"\n}}\nlog {{\n  file = \"{0}/pwani-{1}.log\"\n"
      "  records = \"{0}/pwani-{1}.records\"\n}}\n",
      folder, number);
  return text;
}

}  // namespace gorsemount::script
