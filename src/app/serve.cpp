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

// Inputs within this window share one step: replies arrive by the hundred, and one step each would be
// wasteful.
const Span kInputBatchWindow = Span::seconds(0.004);
const Span kLookupReportInterval = Span::seconds(1);  // minimum interval between lookup reports of one group
const Span kFactsInterval =
    Span::seconds(0.25);  // between fact exchanges with other controllers, and between store writes
const Span kStopGracePeriod = Span::seconds(0.5);  // for TCP answers that are being written at shutdown

dns::ResponderSettings responder_settings(const ServeSettings& settings) {
  dns::ResponderSettings responder;
  responder.origin = settings.dns.origin, responder.hostmaster = settings.dns.hostmaster,
  responder.nameservers = settings.dns.nameservers;
  responder.address = settings.listen.address;
  responder.negative_ttl = static_cast<std::uint32_t>(settings.dns.negative_for.seconds());
  responder.udp_size = static_cast<std::uint16_t>(settings.dns.max_udp_size);
  for (const auto& operation : settings.core.operations) responder.operations.push_back(operation.name);
  responder.max_srv_records = static_cast<std::size_t>(settings.core.lines_most);
  responder.max_addresses = static_cast<std::size_t>(settings.core.addresses_most);
  return responder;
}

runtime_api::DriverSettings driver_settings(const ServeSettings& settings) {
  runtime_api::DriverSettings driver;
  for (std::size_t index = 0; index < settings.core.forwarders.size(); ++index)
    driver.targets.push_back({ProxyId{static_cast<std::uint16_t>(coordinator::kFirstForwarderId + index)},
                              settings.core.forwarders[index].name, settings.runtime.forwarders[index].at,
                              settings.runtime.forwarders[index].path});
  for (const auto& operation : settings.core.operations) driver.operations.push_back(operation.name);
  driver.shared = !settings.cluster.members.empty(), driver.leader = settings.cluster.member;
  driver.stats_interval = settings.core.report_every,
  driver.verify_interval = settings.runtime.read_back_every;
  driver.response_timeout = settings.runtime.answer_within,
  driver.reconnect_delay = settings.runtime.redial_after;
  return driver;
}

void print(const std::vector<hcl::Fault>& faults) {
  for (const auto& fault : faults) std::fprintf(stderr, "%s\n", fault.text().c_str());
}

class Service {
 public:
  Service(ServeSettings settings, ServeOptions options)
      : settings_{std::move(settings)},
        options_{std::move(options)},
        log_{settings_.name, settings_.log_level, settings_.log_file},
        audit_log_{settings_.records_file, settings_.name},
        core_{settings_.core, options_.fixed_weights ? coordinator::fixed_weights()
                                                     : coordinator::policy_decision_maker(settings_.core)},
        roster_{settings_.core, settings_.roster_file},
        responder_{responder_settings(settings_), core_.group_map()},
        prober_{loop_,
                {settings_.health_path, settings_.load_path, settings_.health_every, settings_.health_again,
                 settings_.health_timeout, settings_.load_every, settings_.load_timeout,
                 settings_.core.operations},
                [this](Input input) { enqueue(std::move(input)); }},
        last_lookups_(settings_.core.groups.size()),
        driver_{loop_,
                driver_settings(settings_),
                {[this](Input input) { enqueue(std::move(input)); },
                 [this](const std::string& name) { return core_.backend_id(name); },
                 [this](bool warning, const std::string& event, const log::Fields& fields) {
                   log_event(warning, event, fields);
                 },
                 [this](ProxyId id) {
                   return !cluster_ || cluster_->held_term(shard_of(id), net::monotonic_now()).has_value();
                 },
                 [this](ProxyId id, std::uint64_t version, Span latency, std::size_t changes) {
                   audit_log_.table_applied(id, version, latency, changes);
                 },
                 [this](ProxyId id, std::uint64_t term) {
                   if (cluster_) cluster_->observe_term(net::monotonic_now(), shard_of(id), {term});
                 }}} {}

  int run() {
    // Block the signals before any thread starts: the loop handles them, and in another thread they would end
    // the process.
    sigset_t blocked_signals;
    sigemptyset(&blocked_signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&blocked_signals, signal);
    pthread_sigmask(SIG_BLOCK, &blocked_signals, nullptr);
    background_.emplace(net::monotonic_now);
    if (!open_recording()) return kExitCannotListen;
    open_store();
    apply_roster(roster_.poll());
    step();
    try {
      dns_server_.emplace(loop_, responder_,
                          dns::ServerSettings{settings_.listen, static_cast<std::size_t>(settings_.tcp_most),
                                              settings_.tcp_idle},
                          [this](ProxyId group) { on_lookup(group); });
    } catch (const std::exception& error) {
      log_.event(log::Level::error, "cannot_listen",
                 {{"at", settings_.listen.text()}, {"why", error.what()}});
      return kExitCannotListen;
    }
    log_.event(log::Level::info, "listening",
               {{"at", settings_.listen.text()},
                {"origin", settings_.dns.origin},
                {"zone", settings_.zone_name},
                {"lifetime", config::span_text(coordinator::answer_lifetime(settings_.core))}});
    if (!open_operators() || !join_cluster()) return kExitCannotListen;
    loop_.on_signal(SIGTERM, [this] { stop(); });
    loop_.on_signal(SIGINT, [this] { stop(); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    watch_roster();
    loop_.run();
    background_->remove(roster_task_);
    const auto counters = core_.counters();
    const auto& front = responder_.counters();
    log_.event(log::Level::info, "stopped",
               {{"answers", std::to_string(front.answers)},
                {"truncated", std::to_string(front.truncated)},
                {"rate_limited", std::to_string(front.rate_limited)},
                {"unsent", std::to_string(dns_server_->dropped_datagrams())},
                {"steps", std::to_string(counters.steps)},
                {"orders", std::to_string(counters.orders)},
                {"messages", std::to_string(counters.messages)},
                {"held_back", std::to_string(counters.deferred_messages)},
                {"most_waiting", fmt::format("{:.0f}", counters.peak_backlog)},
                {"cut_unasked", std::to_string(counters.filtered_lines)},
                {"stood_in", std::to_string(counters.fallback_views)}});
    return kExitSuccess;
  }

 private:
  void enqueue(Input input) {
    inputs_.push_back(std::move(input));
    if (step_scheduled_) return;
    step_scheduled_ = true;
    loop_.after(kInputBatchWindow, [this] {
      step_scheduled_ = false;
      step();
    });
  }

  void on_lookup(ProxyId group) {
    Instant& last = last_lookups_[group.value];
    if (loop_.now() - last < kLookupReportInterval) return;
    last = loop_.now();
    enqueue(coordinator::GroupLookup{group});
  }

  void log_event(bool warning, const std::string& event, const log::Fields& fields) {
    log_.event(warning ? log::Level::warning : log::Level::info, event, fields);
    if (warning && operators_) operators_->record_warning(event, fields);
  }

  // Loads the facts stored by an earlier process that are still trusted. Errors are logged and don't stop
  // serving.
  void open_store() {
    if (settings_.store_folder.empty()) return;
    try {
      store::StoreSettings settings;
      settings.owner = settings_.name;
      if (!settings_.store_key_file.empty()) settings.key = read_store_key(settings_.store_key_file);
      auto disk = store::open_directory(settings_.store_folder);
      const auto clocks = read_clocks();
      const auto loaded = store::load(*disk, settings, clocks);
      for (const auto& error : loaded.faults)
        log_.event(log::Level::warning, "store_passed_over", {{"what", error}});
      recovery::TrustedFacts trusted_facts;
      if (loaded.confirmed_at)
        trusted_facts = recovery::select_trusted(loaded.entries, *loaded.confirmed_at,
                                                 Instant{} + Span::micros(clocks.monotonic_us));
      log_.event(log::Level::info, loaded.empty_reason.empty() ? "store_read" : "store_blank",
                 {{"facts", std::to_string(trusted_facts.applicable.size())},
                  {"hints", std::to_string(loaded.entries.size() - trusted_facts.applicable.size())},
                  {"age", loaded.age.elapsed ? config::span_text(*loaded.age.elapsed) : "unknown"},
                  {"clocks", loaded.age.clock_anomaly},
                  {"why", loaded.empty_reason}});
      std::vector<recovery::Entry> initial_entries = trusted_facts.applicable;
      if (!trusted_facts.applicable.empty())
        inputs_.emplace_back(coordinator::FactsReceived{std::move(trusted_facts.applicable), true});
      std::uint64_t sequence = 0;
      for (auto& e : initial_entries) e.sequence = ++sequence;
      store_writer_.emplace(*background_, std::move(disk), std::move(settings), std::move(initial_entries),
                            read_clocks, [this](const std::string& event, const std::string& what) {
                              log_.event(log::Level::warning, event, {{"what", what}});
                            });
      schedule_store_write();
    } catch (const std::exception& error) {
      log_.event(log::Level::warning, "store_stopped", {{"what", error.what()}});
    }
  }
  void schedule_store_write() {
    loop_.after(kFactsInterval, [this] {
      store_writer_->submit(core_.facts());
      schedule_store_write();
    });
  }

  bool open_recording() {
    if (settings_.recording_file.empty()) return true;
    try {
      record::Header header;
      header.name = settings_.name, header.settings = settings_.text;
      header.began_wall = std::chrono::duration_cast<std::chrono::microseconds>(
                              std::chrono::system_clock::now().time_since_epoch())
                              .count();
      // Called from a background thread, so the log must be thread-safe.
      recorder_.emplace(
          *background_,
          record::RecorderSettings{settings_.recording_file, settings_.recording_size_limit, 4096},
          std::move(header), Instant{}, [this](const std::string& why) {
            log_.event(log::Level::warning, "recording_stopped", {{"why", why}});
          });
      return true;
    } catch (const std::exception& error) {
      log_.event(log::Level::error, "cannot_record", {{"why", error.what()}});
      return false;
    }
  }

  bool open_operators() {
    if (settings_.runtime.socket.empty() && !settings_.runtime.tcp) return true;
    try {
      std::string token;
      if (!settings_.runtime.token_file.empty()) {
        std::vector<hcl::Fault> faults;
        token = config::read_file(settings_.runtime.token_file, faults);
        token.erase(token.find_last_not_of(" \r\n") + 1);
        if (!faults.empty() || token.size() < 16)
          throw std::runtime_error{settings_.runtime.token_file +
                                   ": expected a token of 16 characters or more"};
      }
      operators_.emplace(
          core_, [this](const coordinator::OperatorCommand& command) { return execute_command(command); },
          [this] { return driver_.status(); }, token);
      operators_->set_task_source([this] { return task_rows(); });
      const auto serve = [this](std::unique_ptr<runtime_api::CommandServer>& server, bool trusted) {
        // One server per socket, so that only peers of the UNIX socket are trusted without a token.
        server = std::make_unique<runtime_api::CommandServer>(
            loop_,
            [this, trusted](std::uint64_t peer, const std::string& command, const std::string&) {
              return operators_->handle(peer, trusted, command);
            },
            runtime_api::CommandServer::Limits{});
        server->on_disconnect([this](std::uint64_t peer) { operators_->disconnected(peer); });
      };
      if (!settings_.runtime.socket.empty())
        serve(unix_server_, true),
            unix_server_->listen(settings_.runtime.socket, settings_.runtime.socket_mode);
      if (settings_.runtime.tcp) serve(tcp_server_, false), tcp_server_->listen(*settings_.runtime.tcp);
      return true;
    } catch (const std::exception& error) {
      log_.event(log::Level::error, "cannot_listen", {{"at", "operators' socket"}, {"why", error.what()}});
      return false;
    }
  }

  [[nodiscard]] runtime_api::OperatorConsole::Rows task_rows() const {
    runtime_api::OperatorConsole::Rows rows;
    const auto ms = [](Span span) { return fmt::format("{:.2f}", 1000 * span.seconds()); };
    for (const auto& task : background_->counters())
      rows.push_back({{"task", task.name},
                      {"runs", std::to_string(task.runs)},
                      {"pieces", std::to_string(task.steps)},
                      {"longest_ms", ms(task.longest_step)},
                      {"latest_ms", ms(task.max_delay)},
                      {"all_s", fmt::format("{:.3f}", task.run_time.seconds())},
                      {"bytes", std::to_string(task.bytes)}});
    return rows;
  }

  [[nodiscard]] cluster::ShardId shard_of(ProxyId proxy) const {
    return cluster_adapter_->shard_of(proxy, settings_.core);
  }

  bool join_cluster() {
    const auto& cluster_settings = settings_.cluster;
    if (cluster_settings.members.empty()) return true;
    try {
      std::vector<hcl::Fault> faults;
      auto keys = cluster::parse_keys(config::read_file(cluster_settings.key_file, faults));
      cluster::ClusterSettings settings;
      std::map<cluster::MemberId, Endpoint> others;
      Endpoint own;
      for (std::size_t index = 0; index < cluster_settings.members.size(); ++index) {
        const cluster::MemberId id{static_cast<std::uint16_t>(index)};
        settings.members.push_back(id);
        if (cluster_settings.members[index].first == cluster_settings.member) {
          settings.self = id, own = cluster_settings.members[index].second;
        } else {
          others[id] = cluster_settings.members[index].second;
        }
      }
      // Terms and incarnations must increase across restarts, so they start from the wall clock, read once.
      const auto wall_clock_ms =
          static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                         std::chrono::system_clock::now().time_since_epoch())
                                         .count());
      settings.shards = static_cast<std::size_t>(cluster_settings.shards),
      settings.term_floor = {wall_clock_ms};
      settings.lease.duration = cluster_settings.lease,
      settings.lease.max_clock_drift = cluster_settings.drift;
      settings.lease.renew_before = cluster_settings.lease * 0.67,
      settings.lease.retry_interval = cluster_settings.lease * 0.1;
      settings.seed = settings_.core.seed + settings.self.value;
      frame_codec_.emplace(settings.self, wall_clock_ms, std::move(keys));
      cluster_.emplace(std::move(settings), net::monotonic_now());
      cluster_adapter_.emplace(*cluster_);
      peer_transport_ = std::make_unique<peers::PeerTransport>(
          loop_, *frame_codec_, own, std::move(others),
          [this](const cluster::Message& message) {
            cluster_->receive(net::monotonic_now(), message);
            tick_cluster();
          },
          [this](const std::string& from, const char* why) {
            log_event(true, "frame_dropped", {{"from", from}, {"why", why}});
          });
      log_.event(log::Level::info, "cluster_joined",
                 {{"member", cluster_settings.member},
                  {"members", std::to_string(cluster_settings.members.size())}});
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
      exchange_cluster_facts();
      return true;
    } catch (const std::exception& error) {
      log_.event(log::Level::error, "cannot_listen", {{"at", "cluster"}, {"why", error.what()}});
      return false;
    }
  }

  [[nodiscard]] runtime_api::OperatorConsole::Rows cluster_rows() const {
    constexpr const char* state_names[] = {"alive", "suspected", "gone"};
    runtime_api::OperatorConsole::Rows rows;
    for (std::size_t index = 0; index < settings_.cluster.members.size(); ++index) {
      const auto& [name, at] = settings_.cluster.members[index];
      const auto state = cluster_->state_of({static_cast<std::uint16_t>(index)});
      rows.push_back({{"kind", "member"},
                      {"name", name},
                      {"standing", state_names[static_cast<std::size_t>(state)]},
                      {"at", at.text()},
                      {"term", name == settings_.cluster.member ? "self" : "-"}});
    }
    for (const auto& [id, term] : cluster_adapter_->forwarder_terms())
      rows.push_back({{"kind", "forwarder"},
                      {"name", settings_.core.forwarders[id.value - coordinator::kFirstForwarderId].name},
                      {"standing", term ? "led here" : "led elsewhere"},
                      {"at", "shard " + std::to_string(shard_of(id).value)},
                      {"term", term ? std::to_string(term->value) : "-"}});
    return rows;
  }

  void tick_cluster() {
    for (const auto& m : cluster_->tick(net::monotonic_now())) peer_transport_->send(m);
    loop_.cancel(cluster_timer_);
    // Leases expire by the clock. Polling at this interval closes a stream soon after its lease expires;
    // may_order checks the lease again before each change.
    cluster_timer_ = loop_.at(std::min(cluster_->wake_at(), loop_.now() + Span::seconds(0.05)),
                              [this] { tick_cluster(); });
    apply_cluster_update(cluster_adapter_->poll_leadership(net::monotonic_now(), settings_.core));
  }

  void apply_cluster_update(shared_fleet::ClusterUpdate update) {
    if (update.recalled > 0)
      log_.event(log::Level::info, "recalled", {{"facts", std::to_string(update.recalled)}});
    for (auto& input : update.inputs) enqueue(std::move(input));
    for (const auto& lead : update.lead_changes) {
      if (lead.now.has_value() != lead.before.has_value())
        log_.event(log::Level::info, lead.now ? "leads" : "leads_no_more",
                   {{"forwarder",
                     settings_.core.forwarders[lead.forwarder.value - coordinator::kFirstForwarderId].name},
                    {"term", std::to_string((lead.now ? lead.now : lead.before)->value)}});
      driver_.set_term(lead.forwarder, lead.now ? std::optional{lead.now->value} : std::nullopt);
    }
  }

  // Sends this controller's facts to the others, and passes received facts that apply immediately to the
  // core.
  void exchange_cluster_facts() {
    bool changed = false;
    apply_cluster_update(cluster_adapter_->exchange_facts(net::monotonic_now(), core_, changed));
    if (changed) tick_cluster();
    loop_.after(kFactsInterval, [this] { exchange_cluster_facts(); });
  }

  std::string execute_command(const coordinator::OperatorCommand& command) {
    inputs_.emplace_back(command);
    step();
    return command_results_.empty() ? "" : command_results_.back();
  }

  void step() {
    const Instant now = net::monotonic_now();
    auto inputs = std::exchange(inputs_, {});
    const auto effects = core_.step(now, inputs);
    if (recorder_) recorder_->step(now, std::move(inputs), effects);
    if (effects.published) responder_.publish(effects.published, core_.group_map());
    for (const auto& m : effects.messages) audit_log_.message(m);
    for (const auto& delivery : effects.deliveries) driver_.deliver(delivery.forwarder, delivery.table);
    command_results_ = effects.command_results;
    for (const auto& n : effects.log_events)
      log_event(n.severity == coordinator::LogEvent::Severity::warning, n.event, n.fields);
    loop_.cancel(step_timer_);
    step_timer_ = loop_.at(effects.next_wakeup, [this] { step(); });
  }

  // An invalid roster is logged once and leaves the current one in place.
  void apply_roster(RosterFile::PollResult result) {
    for (const auto& error : result.faults) log_.event(log::Level::warning, "roster_kept", {{"why", error}});
    if (!result.entries) return;
    // The core assigns the backend ids, so it gets the roster before the prober does.
    const std::size_t n = result.entries->size();
    std::vector<std::pair<std::string, Endpoint>> names;
    for (const auto& e : *result.entries) names.emplace_back(e.name, e.at);
    inputs_.emplace_back(coordinator::RosterUpdate{std::move(*result.entries)});
    step();
    std::map<BackendId, Endpoint> probe_targets;
    for (const auto& [name, at] : names)
      if (const auto id = core_.backend_id(name)) probe_targets[*id] = at;
    if (!options_.fixed_weights) prober_.set_backends(probe_targets);  // fixed weights need no health checks
    log_.event(log::Level::info, "roster_read", {{"backends", std::to_string(n)}});
  }

  void watch_roster() {
    roster_task_ = background_->add({"roster", 1, settings_.roster_check_interval, 0, 1}, [this] {
      auto result = roster_.poll();
      const std::size_t n = result.entries ? result.entries->size() : 0;
      // An unchanged file doesn't wake the loop.
      if (result.entries || !result.faults.empty())
        loop_.post([this, result = std::make_shared<RosterFile::PollResult>(std::move(result))] {
          apply_roster(std::move(*result));
        });
      return background::StepResult{n, true};
    });
  }

  void reload() {
    std::vector<hcl::Fault> faults;
    config::Findings findings;
    const std::string text = config::read_file(options_.config, faults);
    ServeSettings new_settings = config::read_settings(text, options_.config, findings);
    faults.insert(faults.end(), findings.faults.begin(), findings.faults.end());
    if (!faults.empty()) {
      for (const auto& fault : faults)
        log_.event(log::Level::warning, "reload_refused", {{"why", fault.text()}});
      return;
    }
    // Some settings can't change while the policy runs: their changes are logged and ignored.
    if (config::non_reloadable_settings(new_settings) != config::non_reloadable_settings(settings_))
      log_.event(log::Level::warning, "reload_partial",
                 {{"why",
                   "changes to zones, operations, rules, channel, dns names and listen need a restart and "
                   "were ignored"}});
    if (frame_codec_) {
      // Keys rotate without a restart: all keys of the new ring decrypt, the last one encrypts.
      try {
        frame_codec_->set_keys(cluster::parse_keys(config::read_file(settings_.cluster.key_file, faults)));
        log_.event(log::Level::info, "keys_read", {{"file", settings_.cluster.key_file}});
      } catch (const std::exception& error) {
        log_.event(log::Level::warning, "reload_refused", {{"why", error.what()}});
        return;
      }
    }
    log_.set_level(new_settings.log_level);
    settings_.roster_file = new_settings.roster_file,
    settings_.roster_check_interval = new_settings.roster_check_interval;
    settings_.core.groups = new_settings.core.groups,
    settings_.core.trusted_resolvers = new_settings.core.trusted_resolvers;
    settings_.core.lifetime_most = new_settings.core.lifetime_most,
    settings_.core.group_idle = new_settings.core.group_idle;
    last_lookups_.assign(settings_.core.groups.size(), {});
    if (cluster_adapter_) cluster_adapter_->reset_groups();
    inputs_.emplace_back(coordinator::SettingsReloaded{settings_.core});
    step();
    roster_.set_file(settings_.roster_file);
    background_->remove(roster_task_);
    watch_roster();
    background_->request_run(roster_task_);
    log_.event(log::Level::info, "reloaded", {{"groups", std::to_string(settings_.core.groups.size())}});
  }

  void stop() {
    if (std::exchange(stopping_, true)) return loop_.stop();
    if (cluster_) {
      // Hands over leadership at once, so that the next leader doesn't wait for the leases to expire.
      cluster_->hand_over_all(net::monotonic_now());
      tick_cluster();
    }
    dns_server_->stop();
    if (dns_server_->connections() == 0 && !cluster_) return loop_.stop();
    loop_.after(kStopGracePeriod, [this] { loop_.stop(); });
  }

  ServeSettings settings_;
  ServeOptions options_;
  log::Log log_;
  AuditLog audit_log_;
  net::Loop loop_;
  coordinator::Coordinator core_;
  RosterFile roster_;
  background::TaskId roster_task_;
  dns::Responder responder_;
  std::optional<dns::Server> dns_server_;
  probes::Prober prober_;
  std::vector<Input> inputs_;
  std::vector<Instant> last_lookups_;
  std::vector<std::string> command_results_;
  std::optional<cluster::FrameCodec> frame_codec_;
  std::optional<cluster::Cluster> cluster_;
  std::unique_ptr<peers::PeerTransport> peer_transport_;
  std::optional<shared_fleet::ClusterAdapter> cluster_adapter_;
  std::optional<background::Executor> background_;  // outlives the objects with tasks in it
  std::optional<record::Recorder> recorder_;
  std::optional<store::StoreWriter> store_writer_;
  net::Loop::Timer cluster_timer_;
  runtime_api::Driver driver_;
  std::optional<runtime_api::OperatorConsole> operators_;
  std::unique_ptr<runtime_api::CommandServer> unix_server_, tcp_server_;
  net::Loop::Timer step_timer_;
  bool step_scheduled_ = false, stopping_ = false;
};

std::optional<ServeSettings> load(const std::string& file, config::Findings& findings) {
  std::vector<hcl::Fault> faults;
  const std::string text = config::read_file(file, faults);
  if (!faults.empty()) {
    print(faults);
    return {};
  }
  ServeSettings settings = config::read_settings(text, file, findings);
  if (!findings.faults.empty()) {
    print(findings.faults);
    std::fprintf(stderr, "%s: %zu error(s)\n", file.c_str(), findings.faults.size());
    return {};
  }
  return settings;
}

}  // namespace

int serve(const ServeOptions& options) {
  config::Findings findings;
  const auto settings = load(options.config, findings);
  if (!settings) return kExitInvalidConfig;
  try {
    return std::make_unique<Service>(*settings, options)->run();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "gorsemount: %s\n", error.what());
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
  std::printf("%s: valid\n", config.c_str());
  return kExitSuccess;
}

int explain_config(const std::string& config) {
  config::Findings findings;
  const auto settings = load(config, findings);
  if (!settings) return kExitInvalidConfig;
  std::size_t path_width = 0, value_width = 0;
  for (const auto& v : findings.values)
    path_width = std::max(path_width, v.path.size()), value_width = std::max(value_width, v.value.size());
  for (const auto& v : findings.values)
    std::printf(
        "%s\n",
        fmt::format("{:<{}}  {:<{}}  {}", v.path, path_width, v.value, value_width, v.source).c_str());
  std::printf(
      "%s\n",
      fmt::format("{:<{}}  {:<{}}  derived: half of drain_grace less use_after", "answer lifetime",
                  path_width, config::span_text(coordinator::answer_lifetime(settings->core)), value_width)
          .c_str());
  return kExitSuccess;
}

}  // namespace gorsemount::app
