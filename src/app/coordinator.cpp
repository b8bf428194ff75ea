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

const Span kLogStateEvery = Span::seconds(1);

std::optional<std::string> environment(const char* name) {
  const char* value = std::getenv(name);
  return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

// Where Unix time 0 lies on the monotonic clock: one offset for the whole life, so that a start keeps its
// place.
Instant unix_zero() {
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return net::monotonic_now() -
         Span::micros(std::chrono::duration_cast<std::chrono::microseconds>(since).count());
}

const Span kShutDownWithin = Span::seconds(0.3);  // the platform kills after 0.7 s

// Descriptors for the connections that come to the gate; the rest is for epoll, signals, the listener and its
// reserve, logs, and discovery's calls, which must stand however many proxies come.
std::size_t descriptors_for_peers(const CoordinatorConfig& c) {
  constexpr std::size_t own = 24;
  return c.sockets > 2 * own ? c.sockets - own : own;
}
constexpr std::size_t kPendingMost = 512;

std::string listed(const std::map<std::string, std::uint64_t>& counts) {
  std::string text;
  for (const auto& [what, n] : counts) text += (text.empty() ? "" : "; ") + what + " " + std::to_string(n);
  return text;
}

class Service {
 public:
  explicit Service(CoordinatorConfig config)
      : config_{std::move(config)},
        log_{"gorsemount", "info", ""},
        instance_{config_.settings, config_.labels, config_.seed, unix_zero()},
        watch_{loop_,
               config_.discovery,
               {},
               config_.seed,
               {[this](discovery::BackendList list) { take(list); },
                [this](const std::string& why) { lost(why); }}},
        gate_{loop_, config_.listen, {descriptors_for_peers(config_), kPendingMost}, callbacks()} {
    loop_.on_signal(SIGTERM, [this] { stop("SIGTERM"); });
    loop_.on_signal(SIGINT, [this] { stop("SIGINT"); });
    loop_.on_signal(SIGHUP, [this] { reload(); });
    if (config_.known) {
      instance_.handle_list(*config_.known, true);
      watch_.resume_from(config_.known->version);
    }
    if (!config_.settings.explicit_subscription) watch_.subscribe();
    step();
    log_.event(log::Level::info, "started",
               {{"name", config_.name},
                {"listen", config_.listen.text()},
                {"discovery", config_.discovery.text()},
                {"known", std::to_string(config_.known ? config_.known->rows.size() : 0)},
                {"peers_most", std::to_string(descriptors_for_peers(config_))}});
    log_state_later();
  }
  void run() { loop_.run(); }

 private:
  streams::StreamServer::Callbacks callbacks() {
    return {[this](streams::StreamId id, const streams::ProxyJoin& m) {
              // Every proxy may come to one coordinator; who finds no place is told, and dials another.
              if (gate_.is_full() && !instance_.is_joined(m.proxy))
                return streams::PolicyHost::JoinResult{"no room", {}};
              schedule();
              return instance_.join(id, m);
            },
            [this](const streams::CollectorJoin& m) {
              return instance_.find_zone(m.zone) ? nullptr : "no such zone";
            },
            [this](std::optional<streams::StreamId> from, const streams::Message& m) {
              schedule();
              return instance_.handle_report(net::monotonic_now(), from, m);
            },
            [this](streams::StreamId id) {
              schedule();
              instance_.leave(id);
            }};
  }

  void take(const discovery::BackendList& list) {
    list_at_ = loop_.now();
    if (const std::size_t skipped = instance_.handle_list(list); skipped > 0)
      log_.event(log::Level::warning, "rows_skipped", {{"zone_unknown", std::to_string(skipped)}});
    schedule();
  }

  void lost(const std::string& why) {
    log_.event(log::Level::warning, "watch_lost",
               {{"why", why}, {"version", std::to_string(watch_.version())}});
    if (stopping_) return;
    if (config_.settings.explicit_subscription) {  // the module says when to ask again
      instance_.handle_list_failure();
      schedule();
    } else {
      watch_.subscribe_after_delay();
    }
  }

  // What comes in one turn of the loop is one batch.
  void schedule() {
    if (std::exchange(scheduled_, true)) return;
    loop_.call_soon([this] { step(); });
  }

  void step() {
    scheduled_ = false;
    if (stopping_) return;
    const Instant begun = net::monotonic_now();
    const auto effects = instance_.step(begun);
    const Instant decided = net::monotonic_now();
    for (const auto& send : effects.sends) {
      gate_.send(send.stream, send.message->bytes);
      lines_out_ += send.message->line_count;
    }
    if (effects.subscribe) watch_.subscribe();
    longest_decision_ = std::max(longest_decision_, decided - begun);
    longest_step_ = std::max(longest_step_, net::monotonic_now() - begun);
    ++steps_;
    loop_.cancel(wake_);
    if (const auto when = instance_.next_wake()) wake_ = loop_.at(*when, [this] { step(); });
  }

  void reload() {
    if (stopping_) return;
    CoordinatorConfig fresh;
    try {
      fresh = read_coordinator_config(environment);
    } catch (const std::exception& fault) {
      log_.event(log::Level::error, "reload_refused", {{"why", fault.what()}});
      return;
    }
    std::string others;  // what only a restart takes over
    const auto changed = [&](bool is, const char* what) {
      others += is ? (others.empty() ? "" : ", ") + std::string{what} : "";
    };
    changed(fresh.settings_text != config_.settings_text, "settings");
    changed(fresh.listen != config_.listen, "listen");
    changed(fresh.sockets != config_.sockets, "limits.sockets");
    log_.event(log::Level::info, "reloaded",
               {{"discovery", fresh.discovery.text()}, {"needs_a_restart", others}});
    config_.discovery = fresh.discovery;
    watch_.set_endpoint(fresh.discovery);
  }

  // Whoever can be answered in the time that a stop may take is answered; nothing is decided any more.
  void stop(const char* why) {
    if (std::exchange(stopping_, true)) return;
    log_state();
    log_.event(log::Level::info, "stopping", {{"why", why}});
    gate_.shut_down(kShutDownWithin, [this] { loop_.stop(); });
  }

  void log_state_later() {
    loop_.after(kLogStateEvery, [this] {
      log_state();
      log_state_later();
    });
  }

  // What it believes, to be set beside what passed on the sockets.
  void log_state() {
    const auto belief = instance_.take_stats();
    const auto& counts = gate_.counts();
    log::Fields fields{
        {"streams", std::to_string(belief.joined_proxies)},
        {"peers", std::to_string(gate_.connection_count())},
        {"pending", std::to_string(gate_.pending_count())},
        {"version", std::to_string(watch_.version())},
        {"watch", watch_.established() ? "stands" : "none"},
        {"list_age_s", list_at_ ? fmt::format("{:.1f}", (loop_.now() - *list_at_).seconds()) : ""},
        {"ready", std::to_string(belief.ready)},
        {"draining", std::to_string(belief.draining)},
        {"names", std::to_string(belief.known_backends)},
        {"table_lines", std::to_string(belief.table_entries)},
        {"levels", belief.levels},
        {"held_back", belief.reduced},
        {"failing", belief.failing},
        {"messages_out", std::to_string(counts.messages_sent)},
        {"lines_out", std::to_string(lines_out_)},
        {"bytes_out", std::to_string(counts.bytes_sent)},
        {"reports", std::to_string(counts.reports)},
        {"accepted", std::to_string(counts.accepted)},
        {"joins", std::to_string(counts.joins)},
        {"protocol_errors", std::to_string(counts.protocol_errors)},
        {"not_reading", std::to_string(counts.slow_consumers)},
        {"malformed", listed(counts.malformed)},
        {"refused", listed(counts.refusals)},
        {"turns", std::to_string(loop_.turns())},
        {"steps", std::to_string(steps_)},
        {"longest_step_ms", fmt::format("{:.2f}", longest_step_.seconds() * 1000)},
        {"longest_decision_ms", fmt::format("{:.2f}", longest_decision_.seconds() * 1000)}};
    for (const auto& [zone, heard] : belief.zones)
      fields.emplace_back(
          "zone_" + zone,
          fmt::format(
              "tries {:.0f} errored {:.0f} latency_ms {:.0f} busy {:.2f}", heard.tries, heard.errored,
              heard.tries > heard.errored ? 1000 * heard.latency_seconds / (heard.tries - heard.errored) : 0,
              heard.cpu_samples > 0 ? heard.cpu_sum / heard.cpu_samples : 0));
    log_.event(log::Level::info, "state", fields);
    longest_step_ = longest_decision_ = {};
  }

  CoordinatorConfig config_;
  net::Loop loop_;
  log::Log log_;
  streams::PolicyHost instance_;
  discovery::Watch watch_;
  streams::StreamServer gate_;
  net::Loop::Timer wake_;
  bool scheduled_ = false, stopping_ = false;
  std::optional<Instant> list_at_;
  std::uint64_t lines_out_ = 0, steps_ = 0;
  Span longest_step_, longest_decision_;
};

}  // namespace

void hold_signals() {
  sigset_t held;
  sigemptyset(&held);
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&held, signal);
  sigprocmask(SIG_BLOCK, &held, nullptr);
  std::signal(SIGPIPE, SIG_IGN);  // whoever reads the log may go
}

int coordinator() {
  CoordinatorConfig config;
  try {
    config = read_coordinator_config(environment);
  } catch (const std::exception& fault) {
    std::cerr << "gorsemount coordinator: " << fault.what() << '\n';
    return kExitInvalidConfig;
  }
  std::unique_ptr<Service> service;
  try {
    service = std::make_unique<Service>(std::move(config));
  } catch (const std::system_error& fault) {
    std::cerr << "gorsemount coordinator: " << fault.what() << '\n';
    return kExitCannotListen;
  }
  try {
    service->run();
    return kExitSuccess;
  } catch (const std::exception& fault) {
    std::cerr << "gorsemount coordinator: " << fault.what() << '\n';
    return kExitFailure;
  }
}

}  // namespace gorsemount::app
