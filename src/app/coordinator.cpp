#include "app/coordinator.hpp"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <system_error>

#include "app/coordinator_config.hpp"
#include "app/exit_codes.hpp"
#include "discovery/watch.hpp"
#include "log/log.hpp"
#include "net/loop.hpp"
#include "streams/policy_host.hpp"
#include "streams/stream_server.hpp"

namespace gorsemount::app {

namespace {

const Span kStateLogInterval = Span::seconds(1);

std::optional<std::string> environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

// Unix time 0 on the monotonic clock. The offset is read once per process, so that later wall-clock
// adjustments don't move backend start times.
Instant unix_epoch() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return net::monotonic_now() -
         Span::micros(std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count());
}

const Span kShutdownTimeout = Span::seconds(0.3);  // the platform sends SIGKILL 0.7 s after SIGTERM

// Connections that the stream server may hold. The remaining descriptors are reserved for epoll, signals, the
// listener and its spare, logs and the discovery calls, which must work however many proxies connect.
std::size_t max_stream_connections(const CoordinatorConfig& config) {
  constexpr std::size_t reserved = 24;
  return config.max_sockets > 2 * reserved ? config.max_sockets - reserved : reserved;
}
constexpr std::size_t kMaxPendingConnections = 512;

// The part of the process's memory that buffers of connections may take. The rest is for the decisions, the
// tables and what the allocator keeps.
constexpr std::size_t kBufferMemoryDivisor = 4;
std::size_t max_buffer_bytes(const CoordinatorConfig& config) {
  return (config.memory_mb << 20U) / kBufferMemoryDivisor;
}

// A peer may send this many times the reports that the settings let through a second: a collector that was
// held up sends those of several seconds at once.
constexpr double kPeerRateFactor = 4;
streams::StreamServer::Limits stream_limits(const CoordinatorConfig& config) {
  streams::StreamServer::Limits limits;
  limits.max_connections = max_stream_connections(config);
  limits.max_pending = kMaxPendingConnections;
  if (config.settings.max_report_rate > 0)
    limits.max_message_rate = kPeerRateFactor * config.settings.max_report_rate;
  return limits;
}

std::string format_counts(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [name, count] : counts)
    text += (text.empty() ? "" : "; ") + name + " " + std::to_string(count);
  return text;
}

class Service {
 public:
  explicit Service(CoordinatorConfig config)
      : config_{std::move(config)},
        log_{"gorsemount", "info", ""},
        policy_host_{config_.settings, config_.id_names, config_.seed, unix_epoch()},
        watch_{loop_,
               config_.discovery,
               {},
               config_.seed,
               {[this](const discovery::BackendList& list) { on_backend_list(list); },
                [this](const std::string& why) { on_watch_failure(why); }}},
        stream_server_{loop_, config_.listen, stream_limits(config_), callbacks()} {
    loop_.buffers().set_limit(max_buffer_bytes(config_));
    loop_.on_signal(SIGTERM, [this] { stop("SIGTERM"); });
    loop_.on_signal(SIGINT, [this] { stop("SIGINT"); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    if (config_.initial_backends) {
      policy_host_.handle_list(*config_.initial_backends, true);
      watch_.resume_from(config_.initial_backends->version);
    }
    if (!config_.settings.explicit_subscription) watch_.subscribe();
    step();
    log_.event(
        log::Level::info, "started",
        {{"name", config_.name},
         {"listen", config_.listen.text()},
         {"discovery", config_.discovery.text()},
         {"known", std::to_string(config_.initial_backends ? config_.initial_backends->rows.size() : 0)},
         {"peers_most", std::to_string(max_stream_connections(config_))},
         {"buffer_limit", std::to_string(loop_.buffers().limit())}});
    schedule_state_log();
  }
  void run() { loop_.run(); }

 private:
  streams::StreamServer::Callbacks callbacks() {
    return {[this](streams::StreamId id, const streams::ProxyJoin& message) {
              // All proxies may connect to one coordinator. One that is refused for lack of room connects to
              // another.
              if (stream_server_.is_full() && !policy_host_.is_joined(message.proxy))
                return streams::PolicyHost::JoinResult{"no room", {}};
              schedule();
              return policy_host_.join(id, message);
            },
            [this](const streams::CollectorJoin& message) {
              return policy_host_.find_zone(message.zone) ? nullptr : "no such zone";
            },
            [this](std::optional<streams::StreamId> from, const streams::Message& message) {
              schedule();
              return policy_host_.handle_report(net::monotonic_now(), from, message);
            },
            [this](streams::StreamId id) {
              schedule();
              policy_host_.leave(id);
            }};
  }

  void on_backend_list(const discovery::BackendList& list) {
    list_received_at_ = loop_.now();
    if (const std::size_t skipped = policy_host_.handle_list(list); skipped > 0)
      log_.event(log::Level::warning, "rows_skipped", {{"zone_unknown", std::to_string(skipped)}});
    schedule();
  }

  void on_watch_failure(const std::string& why) {
    log_.event(log::Level::warning, "watch_lost",
               {{"why", why}, {"version", std::to_string(watch_.version())}});
    if (stopping_) return;
    if (config_.settings.explicit_subscription) {  // the policy decides when to subscribe again
      policy_host_.handle_list_failure();
      schedule();
    } else {
      watch_.subscribe_after_delay();
    }
  }

  // Input received in one loop iteration is handled as one batch.
  void schedule() {
    if (std::exchange(scheduled_, true)) return;
    loop_.call_soon([this] { step(); });
  }

  void step() {
    scheduled_ = false;
    if (stopping_) return;
    const Instant started = net::monotonic_now();
    const auto effects = policy_host_.step(started);
    const Instant decision_end = net::monotonic_now();
    for (const auto& send : effects.sends) {
      stream_server_.send(send.stream, send.message->bytes);
      sent_lines_ += send.message->line_count;
    }
    if (effects.subscribe) watch_.subscribe();
    longest_decision_ = std::max(longest_decision_, decision_end - started);
    longest_step_ = std::max(longest_step_, net::monotonic_now() - started);
    ++steps_;
    loop_.cancel(wake_timer_);
    if (const auto when = policy_host_.next_wake()) wake_timer_ = loop_.at(*when, [this] { step(); });
  }

  void reload() {
    if (stopping_) return;
    CoordinatorConfig new_config;
    try {
      new_config = read_coordinator_config(environment);
    } catch (const std::exception& error) {
      log_.event(log::Level::error, "reload_refused", {{"why", error.what()}});
      return;
    }
    std::string restart_fields;  // changed fields that take effect only after a restart
    const auto note_change = [&](bool differs, const char* name) {
      restart_fields += differs ? (restart_fields.empty() ? "" : ", ") + std::string{name} : "";
    };
    note_change(new_config.settings_text != config_.settings_text, "settings");
    note_change(new_config.listen != config_.listen, "listen");
    note_change(new_config.max_sockets != config_.max_sockets, "limits.sockets");
    note_change(new_config.memory_mb != config_.memory_mb, "limits.memory_mb");
    log_.event(log::Level::info, "reloaded",
               {{"discovery", new_config.discovery.text()}, {"needs_a_restart", restart_fields}});
    config_.discovery = new_config.discovery;
    watch_.set_endpoint(new_config.discovery);
  }

  // Answers pending connections within the shutdown timeout; no further policy steps run.
  void stop(const char* why) {
    if (std::exchange(stopping_, true)) return;
    log_state();
    log_.event(log::Level::info, "stopping", {{"why", why}});
    stream_server_.shut_down(kShutdownTimeout, [this] { loop_.stop(); });
  }

  void schedule_state_log() {
    loop_.after(kStateLogInterval, [this] {
      log_state();
      schedule_state_log();
    });
  }

  // Logs the coordinator's view of the fleet, to compare with the traffic on the sockets.
  void log_state() {
    const auto stats = policy_host_.take_stats();
    const auto& counts = stream_server_.counts();
    log::Fields fields{
        {"streams", std::to_string(stats.joined_proxies)},
        {"peers", std::to_string(stream_server_.connection_count())},
        {"pending", std::to_string(stream_server_.pending_count())},
        {"version", std::to_string(watch_.version())},
        {"watch", watch_.established() ? "stands" : "none"},
        {"list_age_s",
         list_received_at_ ? fmt::format("{:.1f}", (loop_.now() - *list_received_at_).seconds()) : ""},
        {"ready", std::to_string(stats.ready)},
        {"draining", std::to_string(stats.draining)},
        {"names", std::to_string(stats.known_backends)},
        {"table_lines", std::to_string(stats.table_entries)},
        {"levels", stats.levels},
        {"held_back", stats.reduced},
        {"failing", stats.failing},
        {"no_zone_line", stats.without_zone_line},
        {"messages_out", std::to_string(counts.messages_sent)},
        {"lines_out", std::to_string(sent_lines_)},
        // The module's estimate: lines that wait, and lines_out with the overhead of all messages_out.
        {"channel_backlog", fmt::format("{:.0f}", stats.channel_backlog)},
        {"channel_written", fmt::format("{:.0f}", stats.channel_written)},
        {"bytes_out", std::to_string(counts.bytes_sent)},
        {"reports", std::to_string(counts.reports)},
        {"accepted", std::to_string(counts.accepted)},
        {"joins", std::to_string(counts.joins)},
        {"protocol_errors", std::to_string(counts.protocol_errors)},
        {"not_reading", std::to_string(counts.slow_consumers)},
        {"over_rate", std::to_string(counts.over_rate)},
        {"over_memory", std::to_string(counts.over_memory)},
        {"buffer_bytes", std::to_string(loop_.buffers().held())},
        {"malformed", format_counts(counts.malformed)},
        {"refused", format_counts(counts.refusals)},
        {"turns", std::to_string(loop_.turns())},
        {"steps", std::to_string(steps_)},
        {"longest_turn_ms", fmt::format("{:.2f}", loop_.take_longest_turn().seconds() * 1000)},
        {"longest_read_wait_ms", fmt::format("{:.2f}", loop_.take_longest_read_wait().seconds() * 1000)},
        {"longest_step_ms", fmt::format("{:.2f}", longest_step_.seconds() * 1000)},
        {"longest_decision_ms", fmt::format("{:.2f}", longest_decision_.seconds() * 1000)}};
    for (const auto& [zone, zone_stats] : stats.zones)
      fields.emplace_back(
          "zone_" + zone,
          fmt::format("tries {:.0f} errored {:.0f} latency_ms {:.0f} busy {:.2f}", zone_stats.tries,
                      zone_stats.errored,
                      zone_stats.tries > zone_stats.errored
                          ? 1000 * zone_stats.latency_seconds / (zone_stats.tries - zone_stats.errored)
                          : 0,
                      zone_stats.cpu_samples > 0 ? zone_stats.cpu_sum / zone_stats.cpu_samples : 0));
    log_.event(log::Level::info, "state", fields);
    longest_step_ = longest_decision_ = {};
  }

  CoordinatorConfig config_;
  net::Loop loop_;
  log::Log log_;
  streams::PolicyHost policy_host_;
  discovery::Watch watch_;
  streams::StreamServer stream_server_;
  net::Loop::Timer wake_timer_;
  bool scheduled_ = false, stopping_ = false;
  std::optional<Instant> list_received_at_;
  std::uint64_t sent_lines_ = 0, steps_ = 0;
  Span longest_step_, longest_decision_;
};

}  // namespace

void block_signals() {
  sigset_t blocked_signals;
  sigemptyset(&blocked_signals);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&blocked_signals, signal);
  sigprocmask(SIG_BLOCK, &blocked_signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // the reader of the log may exit
}

int coordinator() {
  CoordinatorConfig config;
  try {
    config = read_coordinator_config(environment);
  } catch (const std::exception& error) {
    std::cerr << "gorsemount coordinator: " << error.what() << '\n';
    return kExitInvalidConfig;
  }
  std::unique_ptr<Service> service;
  try {
    service = std::make_unique<Service>(std::move(config));
  } catch (const std::system_error& error) {
    std::cerr << "gorsemount coordinator: " << error.what() << '\n';
    return kExitCannotListen;
  }
  try {
    service->run();
    return kExitSuccess;
  } catch (const std::exception& error) {
    std::cerr << "gorsemount coordinator: " << error.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
