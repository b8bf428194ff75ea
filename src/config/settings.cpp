#include "config/settings.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <map>

namespace gorsemount::config {

namespace {

const Span kZeroSpan;
Span ms(double n) { return Span::seconds(n / 1e3); }

// Names become DNS labels: letters, digits and hyphens, 63 at most (RFC 1123, section 2.1).
bool is_label(const std::string& text) {
  return !text.empty() && text.size() <= 63 && text.front() != '-' && text.back() != '-' &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isalnum(c) != 0 || c == '-'; });
}

bool is_domain(const std::string& text) {
  if (text.empty() || text.size() > 200) return false;
  for (std::size_t from = 0; from <= text.size();) {
    const auto dot = std::min(text.find('.', from), text.size());
    if (!is_label(text.substr(from, dot - from))) return false;
    from = dot + 1;
  }
  return true;
}

std::string domain(Section& in, const char* name, const std::optional<std::string>& fallback) {
  std::string text = in.text(name, fallback);
  if (!text.empty() && text.back() == '.') text.pop_back();
  std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
  if (!text.empty() && !is_domain(text))
    in.fault(in.place(name), fmt::format("'{}' is \"{}\"; expected a domain name", name, text));
  return text;
}

void check_label(const hcl::Block& block, const Section& in) {
  if (!is_label(block.labels[0].first))
    in.fault(block.labels[0].second,
             fmt::format("{} \"{}\": expected letters, digits and hyphens, 63 at most", block.type,
                         block.labels[0].first));
}

std::string path_of(const hcl::Block& b) { return fmt::format("{}.{}", b.type, b.labels[0].first); }

ZoneId zone_of(Section& in, const char* name, const std::vector<std::string>& zones) {
  if (zones.empty()) return static_cast<void>(in.text(name, "")), ZoneId{};
  return ZoneId{static_cast<std::uint16_t>(in.choice(name, zones, std::nullopt))};
}

std::vector<Prefix> prefixes(Section& in, const char* name) {
  std::vector<Prefix> result;
  for (const auto& [text, at] : in.texts(name)) {
    if (const auto p = Prefix::parse(text)) {
      result.push_back(*p);
    } else {
      in.fault(at,
               fmt::format("'{}' holds \"{}\"; expected an address prefix with no bits behind its length, "
                           "such as \"10.1.0.0/16\" or \"2001:db8::/32\"",
                           name, text));
    }
  }
  return result;
}

Endpoint endpoint(Section& in, const char* name, const std::optional<std::string>& fallback) {
  const std::string text = in.text(name, fallback);
  const auto e = Endpoint::parse(text);
  if (!e && !text.empty())
    in.fault(in.place(name), fmt::format("'{}' is \"{}\"; expected an address and a port, such as "
                                         "\"127.0.0.1:5300\" or \"[::1]:5300\"",
                                         name, text));
  return e.value_or(Endpoint{});
}

void read_core(Section& root, ServeSettings& s) {
  auto& core = s.core;
  std::vector<decltype(root.texts("near"))> near;
  for (const auto* b : root.blocks("zone", 1)) {
    Section in{b->body, b->at, path_of(*b), *root.findings()};
    check_label(*b, in);
    core.zones.push_back(b->labels[0].first);
    near.push_back(in.texts("near"));
    in.finish();
  }
  // Tier 0 is the zone itself, tier 1 its near zones, tier 2 all others.
  for (std::size_t a = 0; a < core.zones.size(); ++a) {
    core.zone_tiers.emplace_back(core.zones.size(), 2);
    core.zone_tiers[a][a] = 0;
    for (const auto& [name, at] : near[a]) {
      const auto it = std::find(core.zones.begin(), core.zones.end(), name);
      if (it == core.zones.end()) {
        root.fault(at, fmt::format("'near' names \"{}\", which is not a known zone; known: {}", name,
                                   fmt::join(core.zones, ", ")));
      } else if (it - core.zones.begin() != static_cast<std::ptrdiff_t>(a)) {
        core.zone_tiers[a][static_cast<std::size_t>(it - core.zones.begin())] = 1;
      }
    }
  }
  if (core.zones.empty())
    root.fault(root.at(), "no zone is defined; expected at least one block: zone \"name\" {}");

  Section own = root.block("coordinator");
  s.name = own.text("name", "gorsemount");
  core.zone = zone_of(own, "zone", core.zones);
  if (core.zone.value < core.zones.size()) s.zone_name = core.zones[core.zone.value];
  core.seed = static_cast<std::uint64_t>(own.number("seed", 1, {0, 1e15, true}));
  core.coordinators = own.number("coordinators", 1, {1, 1000, true});
  core.report_every = own.span("report_every", ms(500), ms(50), Span::seconds(60));
  core.spill = own.flag("spill", false);
  core.levels = own.choice("levels", {"off", "share"}, 0) == 1;
  own.finish();

  const std::vector<std::string> effects{"idempotent", "fingerprinted", "side-effecting"};
  for (const auto* b : root.blocks("operation", 1)) {
    Section in{b->body, b->at, path_of(*b), *root.findings()};
    check_label(*b, in);
    coordinator::OperationInfo op;
    op.name = b->labels[0].first;
    std::transform(op.name.begin(), op.name.end(), op.name.begin(),
                   [](unsigned char c) { return std::tolower(c); });
    op.effect = static_cast<Effect>(in.choice("effect", effects, std::nullopt));
    op.latency_objective = in.span("latency_objective", std::nullopt, ms(1), Span::seconds(600));
    op.integration_timeout = in.span("integration_timeout", std::nullopt, ms(1), Span::seconds(600));
    op.billed_value = in.number("billed_value", 1, {0, 1e9});
    if (op.integration_timeout < op.latency_objective)
      in.fault(in.place("integration_timeout"), "'integration_timeout' is shorter than 'latency_objective'");
    core.operations.push_back(op);
    in.finish();
  }
  if (core.operations.empty())
    root.fault(root.at(), "no operation is defined; expected at least one block: operation \"name\" { ... }");
  if (core.operations.size() > 32) root.fault(root.at(), "more than 32 operations");

  Section rules = root.block("rules");
  core.unserved = rules.span("unserved", Span::seconds(3), ms(100), Span::seconds(60));
  core.drain_grace = rules.span("drain_grace", Span::seconds(5), ms(500), Span::seconds(3600));
  core.removal_binds = rules.flag("removal_binds", true);
  core.cold_from = rules.number("cold_from", 0.2, {0.01, 1});
  core.cold_for = rules.span("cold_for", Span::seconds(15), kZeroSpan, Span::seconds(3600));
  core.tip_multiple = rules.number("tip_multiple", 3, {1, 1000});
  core.use_after = rules.span("use_after", ms(500), kZeroSpan, Span::seconds(60));
  rules.finish();
  if (core.use_after >= core.drain_grace)
    rules.fault(rules.place("use_after"), "'use_after' leaves nothing of 'drain_grace'");

  Section channel = root.block("channel");
  core.backlog = channel.number("backlog", 4000, {10, 1e9}, "lines");
  core.lines_per_second = channel.number("lines_per_second", 4000, {1, 1e9}, "lines/s");
  core.per_message = channel.number("per_message", 4, {0, 1000}, "lines");
  core.messages_most = static_cast<int>(channel.number("messages_most", 0, {0, 1e6, true}, "messages"));
  core.messages_window = channel.span("messages_window", Span::seconds(10), ms(100), Span::seconds(3600));
  channel.finish();

  Section clients = root.block("clients");
  core.keepalive = clients.span("keepalive", Span::seconds(15), ms(100), Span::seconds(3600));
  core.group_idle = clients.span("group_idle", Span::seconds(60), Span::seconds(1), Span::seconds(86400));
  core.trusted_resolvers = prefixes(clients, "trusted_resolvers");
  clients.finish();
  std::map<Prefix, std::string> used_by;
  for (const auto* b : root.blocks("group", 1)) {
    Section in{b->body, b->at, path_of(*b), *root.findings()};
    coordinator::Group group;
    group.name = b->labels[0].first;
    group.zone = zone_of(in, "zone", core.zones);
    group.sources = prefixes(in, "sources");
    group.usual_rate = in.number("usual_rate", 1, {0, 1e9}, "invocations/s");
    if (group.sources.empty())
      in.fault(in.at(),
               fmt::format("group \"{}\" has no 'sources'; expected a list of address prefixes", group.name));
    for (const auto& p : group.sources)
      if (const auto [it, inserted] = used_by.try_emplace(p, group.name); !inserted)
        in.fault(in.place("sources"), fmt::format("{} is in group \"{}\" too", p.text(), it->second));
    core.groups.push_back(std::move(group));
    in.finish();
  }
  if (core.groups.size() > 20000) root.fault(root.at(), "more than 20000 groups");
  core.groups.push_back({"elsewhere", core.zone, {}, 1});
}

}  // namespace

namespace {

void read_runtime(Section& root, ServeSettings& s) {
  Section in = root.block("runtime");
  s.runtime.read_back_every = in.span("read_back_every", Span::seconds(2), ms(50), Span::seconds(600));
  s.runtime.answer_within = in.span("answer_within", Span::seconds(2), ms(50), Span::seconds(60));
  s.runtime.redial_after = in.span("redial_after", ms(500), ms(10), Span::seconds(60));
  s.core.fleet_rate = in.number("fleet_rate", 0, {0, 1e9}, "invocations/s");
  s.core.retry_share = in.number("retry_share", 0.2, {0, 2});
  in.finish();
  std::map<std::string, std::string> used_by;
  for (const auto* b : root.blocks("forwarder", 1)) {
    Section f{b->body, b->at, path_of(*b), *root.findings()};
    coordinator::Forwarder forwarder;
    forwarder.name = b->labels[0].first;
    forwarder.zone = zone_of(f, "zone", s.core.zones);
    RuntimeSettings::Socket socket;
    const std::string where = f.text("runtime", std::nullopt);
    if (where.starts_with("unix:/") && where.size() < 100) {
      socket.path = where.substr(5);
    } else if (const auto at = Endpoint::parse(where)) {
      socket.at = *at;
    } else if (!where.empty()) {
      f.fault(
          f.place("runtime"),
          fmt::format("'runtime' is \"{}\"; expected an address and a port, or \"unix:\" and a path", where));
    }
    forwarder.sources = prefixes(f, "sources");
    forwarder.usual_rate = f.number("usual_rate", 1, {0, 1e9}, "invocations/s");
    if (const auto [it, inserted] = used_by.try_emplace(where, forwarder.name); !inserted)
      f.fault(f.place("runtime"), fmt::format("{} is the socket of \"{}\" too", where, it->second));
    s.core.forwarders.push_back(std::move(forwarder));
    s.runtime.forwarders.push_back(socket);
    f.finish();
  }
  if (s.core.forwarders.size() > 10000) root.fault(root.at(), "more than 10000 forwarders");
  Section operators = root.block("operators");
  s.runtime.socket = operators.text("socket", "");
  const std::string mode = operators.text("mode", "0600");
  char* end = nullptr;
  const unsigned long bits = std::strtoul(mode.c_str(), &end, 8);
  if (mode.empty() || *end != 0 || bits > 0777 || (bits & 2U) != 0)
    operators.fault(operators.place("mode"),
                    fmt::format("'mode' is \"{}\"; expected octal mode bits such as \"0660\", not "
                                "writable by everyone",
                                mode));
  s.runtime.socket_mode = static_cast<unsigned>(bits);
  if (const Endpoint tcp = endpoint(operators, "tcp", ""); tcp.port != 0) {
    s.runtime.tcp = tcp;
    const bool loopback =
        tcp.address.v6 ? tcp.address == *Address::parse("::1") : tcp.address.bytes[0] == 127;
    if (!loopback) operators.fault(operators.place("tcp"), "'tcp' must be on a loopback address");
  }
  s.runtime.token_file = operators.text("token_file", "");
  if (s.runtime.tcp && s.runtime.token_file.empty())
    operators.fault(operators.at(), "'tcp' needs a 'token_file'");
  operators.finish();
}

void read_cluster(Section& root, ServeSettings& s) {
  std::vector<std::string> names;
  for (const auto* b : root.blocks("member", 1)) {
    Section in{b->body, b->at, path_of(*b), *root.findings()};
    names.push_back(b->labels[0].first);
    s.cluster.members.emplace_back(names.back(), endpoint(in, "address", std::nullopt));
    in.finish();
  }
  Section in = root.block("cluster");
  if (names.empty()) {
    if (!in.text("member", "").empty())
      in.fault(in.place("member"), "no member is defined; expected blocks: member \"name\" { ... }");
    static_cast<void>(in.text("key_file", ""));
  } else {
    s.cluster.member = names[in.choice("member", names, std::nullopt)];
    s.cluster.key_file = in.text("key_file", std::nullopt);
    if (names.size() == 2)
      in.fault(in.at(), "two members have no majority if either one fails; expected 1, or 3 or more");
    if (names.size() > 100) in.fault(in.at(), "more than 100 members");
  }
  s.cluster.shards = static_cast<int>(in.number("shards", 8, {1, 1024, true}));
  s.cluster.lease = in.span("lease", Span::seconds(3), ms(300), Span::seconds(60));
  s.cluster.drift = in.number("drift", 0.01, {0.0001, 0.2});
  in.finish();
}

}  // namespace

ServeSettings read_settings(const std::string& text, const std::string& file, Findings& findings) {
  findings.file = file;
  ServeSettings s;
  s.text = text;
  const hcl::Body body = hcl::parse(text, file, findings.faults);
  if (!findings.faults.empty()) return s;  // a setting on an unparsed line would be reported as missing
  Section root{body, {1, 1}, "", findings};
  read_core(root, s);

  Section dns = root.block("dns");
  s.listen = endpoint(dns, "listen", "127.0.0.1:5300");
  if (s.listen.port < 1024)
    dns.fault(dns.place("listen"), "ports below 1024 need privileges; expected 1024 to 65535");
  s.dns.origin = domain(dns, "origin", std::nullopt);
  s.dns.hostmaster = domain(dns, "hostmaster", "hostmaster." + s.dns.origin);
  for (auto [name, at] : dns.texts("nameservers")) {
    if (!name.empty() && name.back() == '.') name.pop_back();
    if (!is_domain(name))
      dns.fault(at, fmt::format("'nameservers' holds \"{}\"; expected a domain name", name));
    s.dns.nameservers.push_back(name);
  }
  if (s.dns.nameservers.empty()) s.dns.nameservers.push_back("ns." + s.dns.origin);
  s.dns.negative_for = dns.span("negative_for", Span::seconds(1), kZeroSpan, Span::seconds(3600));
  s.dns.max_udp_size = static_cast<int>(dns.number("udp_size", 1232, {512, 4096, true}, "bytes"));
  s.core.lines_most = static_cast<int>(dns.number("lines_most", 16, {1, 1000, true}));
  s.core.addresses_most = static_cast<int>(dns.number("addresses_most", 2, {1, 64, true}));
  s.core.lifetime_most = dns.span("lifetime_most", Span::seconds(5), kZeroSpan, Span::seconds(86400));
  s.tcp_most = static_cast<int>(dns.number("tcp_most", 256, {1, 10000, true}, "connections"));
  s.tcp_idle = dns.span("tcp_idle", Span::seconds(10), ms(200), Span::seconds(600));
  dns.finish();

  Section roster = root.block("roster");
  s.roster_file = roster.text("file", std::nullopt);
  s.roster_check_interval = roster.span("check_every", ms(200), ms(10), Span::seconds(60));
  roster.finish();

  Section probes = root.block("hears");
  s.health_path = probes.text("health_path", "/health");
  s.health_every = probes.span("health_every", ms(250), ms(20), Span::seconds(60));
  s.health_again = probes.span("health_again", ms(60), ms(5), Span::seconds(60));
  s.health_timeout = probes.span("health_timeout", ms(800), ms(20), Span::seconds(60));
  s.load_path = probes.text("load_path", "/load");
  s.load_every = probes.span("load_every", s.core.report_every, ms(20), Span::seconds(60));
  s.load_timeout = probes.span("load_timeout", ms(800), ms(20), Span::seconds(60));
  s.core.late_after = probes.span("late_after", ms(500), ms(1), Span::seconds(60));
  for (const auto& [name, path] : {std::pair{"health_path", &s.health_path}, {"load_path", &s.load_path}})
    if (path->empty() || path->front() != '/' || path->find_first_of(" \r\n") != std::string::npos)
      probes.fault(probes.place(name),
                   fmt::format("'{}' is \"{}\"; expected a path that begins with '/'", name, *path));
  probes.finish();

  read_runtime(root, s);
  read_cluster(root, s);
  Section log = root.block("log");
  const std::vector<std::string> levels{"debug", "info", "warning", "error"};
  s.log_level = levels[log.choice("level", levels, 1)];
  s.log_file = log.text("file", "");
  s.records_file = log.text("records", "");
  log.finish();
  Section store = root.block("store");
  s.store_folder = store.text("folder", "");
  s.store_key_file = store.text("key_file", "");
  if (s.store_folder.empty() && !s.store_key_file.empty())
    store.fault(store.place("key_file"), "'key_file' is set without a 'folder'");
  store.finish();
  Section recording = root.block("recording");
  s.recording_file = recording.text("file", "");
  s.recording_size_limit =
      static_cast<std::uint64_t>(recording.number("bytes_most", 2e9, {1e6, 1e12}, "bytes"));
  recording.finish();
  root.finish();
  std::stable_sort(findings.faults.begin(), findings.faults.end(), [](const auto& a, const auto& b) {
    return std::pair{a.at.line, a.at.column} < std::pair{b.at.line, b.at.column};
  });
  return s;
}

std::string non_reloadable_settings(const ServeSettings& s) {
  const auto& c = s.core;
  std::string text =
      fmt::format("{} {} {} {} {}|{}|{}|{}", s.name, s.zone_name, c.seed, c.coordinators,
                  c.levels + 2 * c.spill, span_text(c.report_every), s.listen.text(), s.dns.origin);
  for (const auto& zone : c.zones) text += "|" + zone;
  for (const auto& op : c.operations)
    text += fmt::format("|{} {} {} {} {}", op.name, static_cast<int>(op.effect), op.billed_value,
                        span_text(op.latency_objective), span_text(op.integration_timeout));
  for (const Span span : {c.unserved, c.drain_grace, c.cold_for, c.use_after, c.keepalive, c.messages_window,
                          c.late_after, s.health_every, s.health_again, s.health_timeout, s.load_every,
                          s.load_timeout, s.tcp_idle, s.dns.negative_for})
    text += "|" + span_text(span);
  text += fmt::format("|{} {} {} {} {} {} {}|{} {} {}", c.removal_binds, c.cold_from, c.tip_multiple,
                      c.backlog, c.lines_per_second, c.per_message, c.messages_most, c.lines_most,
                      c.addresses_most, s.tcp_most);
  for (std::size_t k = 0; k < c.forwarders.size(); ++k)
    text += fmt::format("|{} {} {} {}", c.forwarders[k].name, c.forwarders[k].zone.value,
                        s.runtime.forwarders[k].at.text(), s.runtime.forwarders[k].path);
  text += fmt::format("|{} {} {} {} {}", s.cluster.member, s.cluster.key_file, s.cluster.shards,
                      span_text(s.cluster.lease), s.cluster.drift);
  for (const auto& [name, at] : s.cluster.members) text += "|" + name + " " + at.text();
  return text + fmt::format("|{} {}|{} {}|{}", s.health_path, s.load_path, s.dns.hostmaster,
                            s.dns.max_udp_size, fmt::join(s.dns.nameservers, " "));
}

RosterRead read_roster(const std::string& text, const std::string& file, const coordinator::Settings& core) {
  RosterRead result;
  const hcl::Body body = hcl::parse(text, file, result.faults);
  if (!result.faults.empty()) return result;
  Findings findings{file, {}, {}};
  Section root{body, {1, 1}, "", findings};
  std::vector<std::string> operations;
  for (const auto& op : core.operations) operations.push_back(op.name);
  std::map<Endpoint, std::string> used_by;
  for (const auto* b : root.blocks("backend", 1)) {
    Section in{b->body, b->at, path_of(*b), findings};
    check_label(*b, in);
    coordinator::RosterEntry entry;
    entry.name = b->labels[0].first;
    entry.zone = zone_of(in, "zone", core.zones);
    entry.at = endpoint(in, "address", std::nullopt);
    entry.weight = in.number("weight", 1, {1e-6, 1e6});
    entry.availability =
        in.choice("state", {"ready", "draining"}, 0) == 1 ? Availability::draining : Availability::ready;
    if (const auto open = in.texts("operations"); !open.empty()) {
      entry.operations = 0;
      for (const auto& [name, at] : open) {
        const auto it = std::find(operations.begin(), operations.end(), name);
        if (it == operations.end()) {
          const auto near = nearest(name, {operations.begin(), operations.end()});
          in.fault(at, fmt::format("unknown operation '{}'{}", name,
                                   near ? "; did you mean '" + *near + "'?" : ""));
        } else {
          entry.operations |= 1U << static_cast<unsigned>(it - operations.begin());
        }
      }
    }
    if (const auto [it, inserted] = used_by.try_emplace(entry.at, entry.name); !inserted)
      in.fault(in.place("address"),
               fmt::format("{} is the address of \"{}\" too", entry.at.text(), it->second));
    result.entries.push_back(std::move(entry));
    in.finish();
  }
  root.finish();
  // An empty roster is more likely a mistake than intended, and applying it would empty every response.
  if (result.entries.empty() && findings.faults.empty())
    findings.faults.push_back({file, {1, 1}, "names no backend; an empty roster is never applied"});
  result.faults = std::move(findings.faults);
  return result;
}

std::string read_file(const std::string& file, std::vector<hcl::Fault>& faults) {
  std::ifstream in{file, std::ios::binary};
  std::string text{std::istreambuf_iterator<char>{in}, {}};
  if (!in.is_open() || in.bad()) faults.push_back({file, {}, "can't be read"});
  return text;
}

}  // namespace gorsemount::config
