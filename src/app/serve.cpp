#include "app/serve.hpp"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <exception>
#include <memory>

#include "app/audit_log.hpp"
#include "app/exit_codes.hpp"
#include "app/roster_file.hpp"
#include "app/store.hpp"
#include "background/executor.hpp"
#include "cluster/cluster.hpp"
#include "config/settings.hpp"
#include "coordinator/baseline.hpp"
#include "coordinator/coordinator.hpp"
#include "dns/server.hpp"
#include "log/log.hpp"
#include "net/loop.hpp"
#include "peers/peer_transport.hpp"
#include "probes/prober.hpp"
#include "record/recorder.hpp"
#include "recovery/fact_confidence.hpp"
#include "runtime_api/command_server.hpp"
#include "runtime_api/operator_console.hpp"
#include "shared_fleet/cluster_adapter.hpp"
#include "store/store_writer.hpp"

namespace gorsemount::app {

namespace {

using config::ServeSettings;
using coordinator::Input;

// Inputs of one moment are stepped together: replies come by the hundred, and a step each would be waste.
const Span kGather = Span::seconds(0.004);
const Span kSeenEvery = Span::seconds(1);    // a group's lookups are told to the core once a second
const Span kTell = Span::seconds(0.25);      // between looks at what other controllers are to hear of
const Span kLastWords = Span::seconds(0.5);  // for TCP answers that are being written at a stop

dns::ResponderSettings responder_settings(const ServeSettings& s) {
  dns::ResponderSettings f;
  f.origin = s.dns.origin, f.hostmaster = s.dns.hostmaster, f.nameservers = s.dns.nameservers;
  f.address = s.listen.address;
  f.negative_ttl = static_cast<std::uint32_t>(s.dns.negative_for.seconds());
  f.udp_size = static_cast<std::uint16_t>(s.dns.max_udp_size);
  for (const auto& op : s.core.operations) f.operations.push_back(op.name);
  f.max_srv_records = static_cast<std::size_t>(s.core.lines_most);
  f.max_addresses = static_cast<std::size_t>(s.core.addresses_most);
  return f;
}

runtime_api::DriverSettings driver_settings(const ServeSettings& s) {
  runtime_api::DriverSettings d;
  for (std::size_t k = 0; k < s.core.forwarders.size(); ++k)
    d.targets.push_back({ProxyId{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + k)},
                         s.core.forwarders[k].name, s.runtime.forwarders[k].at,
                         s.runtime.forwarders[k].path});
  for (const auto& op : s.core.operations) d.operations.push_back(op.name);
  d.shared = !s.cluster.members.empty(), d.leader = s.cluster.member;
  d.stats_interval = s.core.report_every, d.verify_interval = s.runtime.read_back_every;
  d.response_timeout = s.runtime.answer_within, d.reconnect_delay = s.runtime.redial_after;
  return d;
}

void print(const std::vector<hcl::Fault>& faults) {
  for (const auto& f : faults) std::fprintf(stderr, "%s\n", f.text().c_str());
}

class Service {
 public:
  Service(ServeSettings settings, ServeOptions options)
      : s_{std::move(settings)},
        options_{std::move(options)},
        log_{s_.name, s_.log_level, s_.log_file},
        audit_log_{s_.records_file, s_.name},
        core_{s_.core,
              options_.fixed ? coordinator::fixed_weights() : coordinator::policy_decision_maker(s_.core)},
        roster_{s_.core, s_.roster_file},
        responder_{responder_settings(s_), core_.group_map()},
        prober_{loop_,
                {s_.health_path, s_.load_path, s_.health_every, s_.health_again, s_.health_timeout,
                 s_.load_every, s_.load_timeout, s_.core.operations},
                [this](Input input) { take(std::move(input)); }},
        seen_(s_.core.groups.size()),
        driver_{loop_,
                driver_settings(s_),
                {[this](Input input) { take(std::move(input)); },
                 [this](const std::string& name) { return core_.backend_id(name); },
                 [this](bool warning, const std::string& event, const log::Fields& fields) {
                   say(warning, event, fields);
                 },
                 [this](ProxyId id) {
                   return !cluster_ || cluster_->held_term(shard_of(id), net::monotonic_now()).has_value();
                 },
                 [this](ProxyId id, std::uint64_t version, Span took, std::size_t changes) {
                   audit_log_.in_force(id, version, took, changes);
                 },
                 [this](ProxyId id, std::uint64_t term) {
                   if (cluster_) cluster_->observe_term(net::monotonic_now(), shard_of(id), {term});
                 }}} {}

  int run() {
    // Before any thread begins: a signal is the loop's, and to a thread that does not expect it it is the
    // end.
    sigset_t ours;
    sigemptyset(&ours);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&ours, signal);
    pthread_sigmask(SIG_BLOCK, &ours, nullptr);
    background_.emplace(net::monotonic_now);
    if (!open_recording()) return kExitCannotListen;
    open_store();
    heed(roster_.look());
    step();
    try {
      server_.emplace(loop_, responder_,
                      dns::ServerSettings{s_.listen, static_cast<std::size_t>(s_.tcp_most), s_.tcp_idle},
                      [this](ProxyId group) { looked_up(group); });
    } catch (const std::exception& fault) {
      log_.event(log::Level::error, "cannot_listen", {{"at", s_.listen.text()}, {"why", fault.what()}});
      return kExitCannotListen;
    }
    log_.event(log::Level::info, "listening",
               {{"at", s_.listen.text()},
                {"origin", s_.dns.origin},
                {"zone", s_.zone_name},
                {"lifetime", config::span_text(coordinator::answer_lifetime(s_.core))}});
    if (!open_operators() || !join_cluster()) return kExitCannotListen;
    loop_.on_signal(SIGTERM, [this] { stop(); });
    loop_.on_signal(SIGINT, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    watch_roster();
    loop_.run();
    background_->remove(roster_task_);
    const auto c = core_.counters();
    const auto& f = responder_.counters();
    log_.event(log::Level::info, "stopped",
               {{"answers", std::to_string(f.answers)},
                {"truncated", std::to_string(f.truncated)},
                {"rate_limited", std::to_string(f.rate_limited)},
                {"unsent", std::to_string(server_->dropped_datagrams())},
                {"steps", std::to_string(c.steps)},
                {"orders", std::to_string(c.orders)},
                {"messages", std::to_string(c.messages)},
                {"held_back", std::to_string(c.deferred_messages)},
                {"most_waiting", fmt::format("{:.0f}", c.peak_backlog)},
                {"cut_unasked", std::to_string(c.filtered_lines)},
                {"stood_in", std::to_string(c.fallback_views)}});
    return kExitSuccess;
  }

 private:
  void take(Input input) {
    inputs_.push_back(std::move(input));
    if (gathering_) return;
    gathering_ = true;
    loop_.after(kGather, [this] {
      gathering_ = false;
      step();
    });
  }

  void looked_up(ProxyId group) {
    Instant& last = seen_[group.value];
    if (loop_.now() - last < kSeenEvery) return;
    last = loop_.now();
    take(coordinator::GroupLookup{group});
  }

  void say(bool warning, const std::string& event, const log::Fields& fields) {
    log_.event(warning ? log::Level::warning : log::Level::info, event, fields);
    if (warning && operators_) operators_->record_warning(event, fields);
  }

  // What an earlier life knew, so far as it is believed. Whatever is wrong with it, serving goes on.
  void open_store() {
    if (s_.store_folder.empty()) return;
    try {
      store::StoreSettings settings;
      settings.owner = s_.name;
      if (!s_.store_key_file.empty()) settings.key = read_store_key(s_.store_key_file);
      auto disk = store::open_directory(s_.store_folder);
      const auto clocks = read_clocks();
      const auto loaded = store::load(*disk, settings, clocks);
      for (const auto& fault : loaded.faults)
        log_.event(log::Level::warning, "store_passed_over", {{"what", fault}});
      recovery::TrustedFacts believed;
      if (loaded.confirmed_at)
        believed = recovery::select_trusted(loaded.entries, *loaded.confirmed_at,
                                            Instant{} + Span::micros(clocks.monotonic_us));
      log_.event(log::Level::info, loaded.empty_reason.empty() ? "store_read" : "store_blank",
                 {{"facts", std::to_string(believed.applicable.size())},
                  {"hints", std::to_string(loaded.entries.size() - believed.applicable.size())},
                  {"age", loaded.age.elapsed ? config::span_text(*loaded.age.elapsed) : "unknown"},
                  {"clocks", loaded.age.clock_anomaly},
                  {"why", loaded.empty_reason}});
      std::vector<recovery::Entry> first = believed.applicable;
      if (!believed.applicable.empty())
        inputs_.emplace_back(coordinator::FactsReceived{std::move(believed.applicable), true});
      std::uint64_t sequence = 0;
      for (auto& e : first) e.sequence = ++sequence;
      keeper_.emplace(*background_, std::move(disk), std::move(settings), std::move(first), read_clocks,
                      [this](const std::string& event, const std::string& what) {
                        log_.event(log::Level::warning, event, {{"what", what}});
                      });
      keep();
    } catch (const std::exception& fault) {
      log_.event(log::Level::warning, "store_stopped", {{"what", fault.what()}});
    }
  }
  void keep() {
    loop_.after(kTell, [this] {
      keeper_->submit(core_.facts());
      keep();
    });
  }

  bool open_recording() {
    if (s_.recording_file.empty()) return true;
    try {
      record::Header header;
      header.name = s_.name, header.settings = s_.text;
      header.began_wall = std::chrono::duration_cast<std::chrono::microseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
      // From a background thread; the log takes lines from any.
      recorder_.emplace(*background_,
                        record::RecorderSettings{s_.recording_file, s_.recording_size_limit, 4096},
                        std::move(header), Instant{}, [this](const std::string& why) {
                          log_.event(log::Level::warning, "recording_stopped", {{"why", why}});
                        });
      return true;
    } catch (const std::exception& fault) {
      log_.event(log::Level::error, "cannot_record", {{"why", fault.what()}});
      return false;
    }
  }

  bool open_operators() {
    if (s_.runtime.socket.empty() && !s_.runtime.tcp) return true;
    try {
      std::string token;
      if (!s_.runtime.token_file.empty()) {
        std::vector<hcl::Fault> faults;
        token = config::read_file(s_.runtime.token_file, faults);
        token.erase(token.find_last_not_of(" \r\n") + 1);
        if (!faults.empty() || token.size() < 16)
          throw std::runtime_error{s_.runtime.token_file + ": expected a token of 16 characters or more"};
      }
      operators_.emplace(
          core_, [this](const coordinator::OperatorCommand& order) { return ordered(order); },
          [this] { return driver_.status(); }, token);
      operators_->set_task_source([this] { return work_rows(); });
      const auto serve = [this](std::unique_ptr<runtime_api::CommandServer>& to, bool trusted) {
        // Peers of the two sockets must not be taken for each other.
        to = std::make_unique<runtime_api::CommandServer>(
            loop_,
            [this, trusted](std::uint64_t peer, const std::string& command, const std::string&) {
              return operators_->handle(peer, trusted, command);
            },
            runtime_api::CommandServer::Limits{});
        to->on_disconnect([this](std::uint64_t peer) { operators_->disconnected(peer); });
      };
      if (!s_.runtime.socket.empty())
        serve(socket_, true), socket_->listen(s_.runtime.socket, s_.runtime.socket_mode);
      if (s_.runtime.tcp) serve(tcp_, false), tcp_->listen(*s_.runtime.tcp);
      return true;
    } catch (const std::exception& fault) {
      log_.event(log::Level::error, "cannot_listen", {{"at", "operators' socket"}, {"why", fault.what()}});
      return false;
    }
  }

  [[nodiscard]] runtime_api::OperatorConsole::Rows work_rows() const {
    runtime_api::OperatorConsole::Rows rows;
    const auto ms = [](Span span) { return fmt::format("{:.2f}", 1000 * span.seconds()); };
    for (const auto& c : background_->counters())
      rows.push_back({{"task", c.name},
                      {"runs", std::to_string(c.runs)},
                      {"pieces", std::to_string(c.steps)},
                      {"longest_ms", ms(c.longest_step)},
                      {"latest_ms", ms(c.max_delay)},
                      {"all_s", fmt::format("{:.3f}", c.run_time.seconds())},
                      {"bytes", std::to_string(c.bytes)}});
    return rows;
  }

  [[nodiscard]] cluster::ShardId shard_of(ProxyId proxy) const { return part_->shard_of(proxy, s_.core); }

  bool join_cluster() {
    const auto& c = s_.cluster;
    if (c.members.empty()) return true;
    try {
      std::vector<hcl::Fault> faults;
      auto keys = cluster::parse_keys(config::read_file(c.key_file, faults));
      cluster::ClusterSettings settings;
      std::map<cluster::MemberId, Endpoint> others;
      Endpoint own;
      for (std::size_t k = 0; k < c.members.size(); ++k) {
        const cluster::MemberId id{static_cast<std::uint16_t>(k)};
        settings.members.push_back(id);
        if (c.members[k].first == c.member) {
          settings.self = id, own = c.members[k].second;
        } else {
          others[id] = c.members[k].second;
        }
      }
      // The wall clock, once: terms and starts have to grow from one life to the next.
      const auto wall = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                                       std::chrono::system_clock::now().time_since_epoch())
                                                       .count());
      settings.shards = static_cast<std::size_t>(c.shards), settings.term_floor = {wall};
      settings.lease.duration = c.lease, settings.lease.max_clock_drift = c.drift;
      settings.lease.renew_before = c.lease * 0.67, settings.lease.retry_interval = c.lease * 0.1;
      settings.seed = s_.core.seed + settings.self.value;
      frames_.emplace(settings.self, wall, std::move(keys));
      cluster_.emplace(std::move(settings), net::monotonic_now());
      part_.emplace(*cluster_);
      links_ = std::make_unique<peers::PeerTransport>(
          loop_, *frames_, own, std::move(others),
          [this](const cluster::Message& m) {
            cluster_->receive(net::monotonic_now(), m);
            tick_cluster();
          },
          [this](const std::string& from, const char* why) {
            say(true, "frame_dropped", {{"from", from}, {"why", why}});
          });
      log_.event(log::Level::info, "cluster_joined",
                 {{"member", c.member}, {"members", std::to_string(c.members.size())}});
      if (operators_)
        operators_->set_cluster_source(
            [this] { return cluster_rows(); },
            [this] {
              const auto n = cluster_->hand_over_all(net::monotonic_now());
              tick_cluster();
              log_.event(log::Level::info, "handed_over", {{"shards", std::to_string(n)}});
              return std::string{};
            });
      tick_cluster();
      tell_cluster();
      return true;
    } catch (const std::exception& fault) {
      log_.event(log::Level::error, "cannot_listen", {{"at", "cluster"}, {"why", fault.what()}});
      return false;
    }
  }

  [[nodiscard]] runtime_api::OperatorConsole::Rows cluster_rows() const {
    constexpr const char* standings[] = {"alive", "suspected", "gone"};
    runtime_api::OperatorConsole::Rows rows;
    for (std::size_t k = 0; k < s_.cluster.members.size(); ++k) {
      const auto& [name, at] = s_.cluster.members[k];
      const auto standing = cluster_->state_of({static_cast<std::uint16_t>(k)});
      rows.push_back({{"kind", "member"},
                      {"name", name},
                      {"standing", standings[static_cast<std::size_t>(standing)]},
                      {"at", at.text()},
                      {"term", name == s_.cluster.member ? "self" : "-"}});
    }
    for (const auto& [id, term] : part_->forwarder_terms())
      rows.push_back({{"kind", "forwarder"},
                      {"name", s_.core.forwarders[id.value - coordinator::kFirstForwarderId].name},
                      {"standing", term ? "led here" : "led elsewhere"},
                      {"at", "shard " + std::to_string(shard_of(id).value)},
                      {"term", term ? std::to_string(term->value) : "-"}});
    return rows;
  }

  void tick_cluster() {
    for (const auto& m : cluster_->tick(net::monotonic_now())) links_->send(m);
    loop_.cancel(cluster_wake_);
    // Leases end by the clock: looked at often enough that a stream outlives its lease by little; may_order
    // asks anew.
    cluster_wake_ = loop_.at(std::min(cluster_->wake_at(), loop_.now() + Span::seconds(0.05)),
                             [this] { tick_cluster(); });
    follow(part_->poll_leadership(net::monotonic_now(), s_.core));
  }

  void follow(shared_fleet::ClusterUpdate turn) {
    if (turn.recalled > 0)
      log_.event(log::Level::info, "recalled", {{"facts", std::to_string(turn.recalled)}});
    for (auto& input : turn.inputs) take(std::move(input));
    for (const auto& lead : turn.lead_changes) {
      if (lead.now.has_value() != lead.before.has_value())
        log_.event(
            log::Level::info, lead.now ? "leads" : "leads_no_more",
            {{"forwarder", s_.core.forwarders[lead.forwarder.value - coordinator::kFirstForwarderId].name},
             {"term", std::to_string((lead.now ? lead.now : lead.before)->value)}});
      driver_.set_term(lead.forwarder, lead.now ? std::optional{lead.now->value} : std::nullopt);
    }
  }

  // What this one knows goes to the others; what they know and what acts at once goes to the core.
  void tell_cluster() {
    bool changed = false;
    follow(part_->exchange_facts(net::monotonic_now(), core_, changed));
    if (changed) tick_cluster();
    loop_.after(kTell, [this] { tell_cluster(); });
  }

  std::string ordered(const coordinator::OperatorCommand& order) {
    inputs_.emplace_back(order);
    step();
    return answers_.empty() ? "" : answers_.back();
  }

  void step() {
    const Instant now = net::monotonic_now();
    auto inputs = std::exchange(inputs_, {});
    const auto effects = core_.step(now, inputs);
    if (recorder_) recorder_->step(now, std::move(inputs), effects);
    if (effects.published) responder_.publish(effects.published, core_.group_map());
    for (const auto& m : effects.messages) audit_log_.message(m);
    for (const auto& d : effects.deliveries) driver_.deliver(d.forwarder, d.table);
    answers_ = effects.command_results;
    for (const auto& n : effects.log_events)
      say(n.severity == coordinator::LogEvent::Severity::warning, n.event, n.fields);
    loop_.cancel(wake_);
    wake_ = loop_.at(effects.next_wakeup, [this] { step(); });
  }

  // A bad file changes nothing, and is named once.
  void heed(RosterFile::Look look) {
    for (const auto& fault : look.faults) log_.event(log::Level::warning, "roster_kept", {{"why", fault}});
    if (!look.entries) return;
    // Ids come from the core, so it hears of the list before the backends are asked.
    const std::size_t n = look.entries->size();
    std::vector<std::pair<std::string, Endpoint>> names;
    for (const auto& e : *look.entries) names.emplace_back(e.name, e.at);
    inputs_.emplace_back(coordinator::RosterUpdate{std::move(*look.entries)});
    step();
    std::map<BackendId, Endpoint> asked;
    for (const auto& [name, at] : names)
      if (const auto id = core_.backend_id(name)) asked[*id] = at;
    if (!options_.fixed) prober_.set_backends(asked);  // a plain zone file asks nobody
    log_.event(log::Level::info, "roster_read", {{"backends", std::to_string(n)}});
  }

  void watch_roster() {
    roster_task_ = background_->add({"roster", 1, s_.roster_check_interval, 0, 1}, [this] {
      auto look = roster_.look();
      const std::size_t n = look.entries ? look.entries->size() : 0;
      // An unchanged file is nothing to wake the loop for.
      if (look.entries || !look.faults.empty())
        loop_.post(
            [this, look = std::make_shared<RosterFile::Look>(std::move(look))] { heed(std::move(*look)); });
      return background::StepResult{n, true};
    });
  }

  void reload() {
    std::vector<hcl::Fault> faults;
    config::Findings findings;
    const std::string text = config::read_file(options_.config, faults);
    ServeSettings fresh = config::read_settings(text, options_.config, findings);
    faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
    if (!faults.empty()) {
      for (const auto& f : faults) log_.event(log::Level::warning, "reload_refused", {{"why", f.text()}});
      return;
    }
    // What the module was started with can't change under it; saying so beats doing half of it.
    if (config::non_reloadable_settings(fresh) != config::non_reloadable_settings(s_))
      log_.event(
          log::Level::warning, "reload_partial",
          {{"why",
            "zones, operations, rules, channel, dns names and listen need a restart; kept as they were"}});
    if (frames_) {
      // Keys rotate without a stop: all of the new ring open, its last one seals.
      try {
        frames_->set_keys(cluster::parse_keys(config::read_file(s_.cluster.key_file, faults)));
        log_.event(log::Level::info, "keys_read", {{"file", s_.cluster.key_file}});
      } catch (const std::exception& fault) {
        log_.event(log::Level::warning, "reload_refused", {{"why", fault.what()}});
        return;
      }
    }
    log_.set_level(fresh.log_level);
    s_.roster_file = fresh.roster_file, s_.roster_check_interval = fresh.roster_check_interval;
    s_.core.groups = fresh.core.groups, s_.core.trusted_resolvers = fresh.core.trusted_resolvers;
    s_.core.lifetime_most = fresh.core.lifetime_most, s_.core.group_idle = fresh.core.group_idle;
    seen_.assign(s_.core.groups.size(), {});
    if (part_) part_->reset_groups();
    inputs_.emplace_back(coordinator::SettingsReloaded{s_.core});
    step();
    roster_.follow(s_.roster_file);
    background_->remove(roster_task_);
    watch_roster();
    background_->request_run(roster_task_);
    log_.event(log::Level::info, "reloaded", {{"groups", std::to_string(s_.core.groups.size())}});
  }

  void stop() {
    if (std::exchange(stopping_, true)) return loop_.stop();
    if (cluster_) {
      // What it leads goes to the next at once, without waiting out the lease.
      cluster_->hand_over_all(net::monotonic_now());
      tick_cluster();
    }
    server_->stop();
    if (server_->connections() == 0 && !cluster_) return loop_.stop();
    loop_.after(kLastWords, [this] { loop_.stop(); });
  }

  ServeSettings s_;
  ServeOptions options_;
  log::Log log_;
  AuditLog audit_log_;
  net::Loop loop_;
  coordinator::Coordinator core_;
  RosterFile roster_;
  background::TaskId roster_task_;
  dns::Responder responder_;
  std::optional<dns::Server> server_;
  probes::Prober prober_;
  std::vector<Input> inputs_;
  std::vector<Instant> seen_;
  std::vector<std::string> answers_;
  std::optional<cluster::FrameCodec> frames_;
  std::optional<cluster::Cluster> cluster_;
  std::unique_ptr<peers::PeerTransport> links_;
  std::optional<shared_fleet::ClusterAdapter> part_;
  std::optional<background::Executor> background_;  // outlives those who work in it
  std::optional<record::Recorder> recorder_;
  std::optional<store::StoreWriter> keeper_;
  net::Loop::Timer cluster_wake_;
  runtime_api::Driver driver_;
  std::optional<runtime_api::OperatorConsole> operators_;
  std::unique_ptr<runtime_api::CommandServer> socket_, tcp_;
  net::Loop::Timer wake_;
  bool gathering_ = false, stopping_ = false;
};

std::optional<ServeSettings> load(const std::string& file, config::Findings& findings) {
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(file, faults);
  if (!faults.empty()) {
    print(faults);
    return {};
  }
  ServeSettings s = config::read_settings(text, file, findings);
  if (!findings.faults.empty()) {
    print(findings.faults);
    std::fprintf(stderr, "%s: %zu fault(s)\n", file.c_str(), findings.faults.size());
    return {};
  }
  return s;
}

}  // namespace

int serve(const ServeOptions& options) {
  config::Findings findings;
  const auto settings = load(options.config, findings);
  if (!settings) return kExitInvalidConfig;
  try {
    return std::make_unique<Service>(*settings, options)->run();
  } catch (const std::exception& fault) {
    std::fprintf(stderr, "gorsemount: %s\n", fault.what());
    return kExitFailure;
  }
}

int check(const std::string& config) {
  config::Findings findings;
  const auto settings = load(config, findings);
  if (!settings) return kExitInvalidConfig;
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(settings->roster_file, faults);
  if (faults.empty()) faults = config::read_roster(text, settings->roster_file, settings->core).faults;
  print(faults);
  if (!faults.empty()) return kExitInvalidConfig;
  std::printf("%s: good\n", config.c_str());
  return kExitSuccess;
}

int explain_config(const std::string& config) {
  config::Findings findings;
  const auto settings = load(config, findings);
  if (!settings) return kExitInvalidConfig;
  std::size_t path = 0, value = 0;
  for (const auto& v : findings.values)
    path = std::max(path, v.path.size()), value = std::max(value, v.value.size());
  for (const auto& v : findings.values)
    std::printf("%s\n", fmt::format("{:<{}}  {:<{}}  {}", v.path, path, v.value, value, v.source).c_str());
  std::printf("%s\n",
              fmt::format("{:<{}}  {:<{}}  worked out: half of drain_grace less use_after", "answer lifetime",
                          path, config::span_text(coordinator::answer_lifetime(settings->core)), value)
                  .c_str());
  return kExitSuccess;
}

}  // namespace gorsemount::app
