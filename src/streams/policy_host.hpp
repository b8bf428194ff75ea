// Runs the decision module without sockets or a clock: converts stream messages and discovery lists into its
// events, and its orders into messages for streams. The caller drives it with step(); all input since the
// last step forms one batch.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "discovery/backend_list.hpp"
#include "policy/policy.hpp"
#include "settings_json/settings.hpp"
#include "streams/message.hpp"
#include "streams/proxy_tables.hpp"

namespace gorsemount::streams {

using StreamId = std::uint64_t;

class PolicyHost {
 public:
  struct Send {
    StreamId stream = 0;
    std::shared_ptr<const EncodedMessage> message;
  };
  struct Effects {
    std::vector<Send> sends;
    bool subscribe = false;  // subscribe to changes from discovery
  };
  struct JoinResult {
    const char* refusal = nullptr;            // the reason; null if the join was accepted
    std::optional<StreamId> replaced_stream;  // the proxy's previous stream, to be closed
  };

  // The module treats the reports of one batch as one snapshot of the fleet. On sockets the reports of a
  // round arrive over some milliseconds, so they are held until none has arrived for `quiet_period`, and for
  // `max_delay` at most. Joins, leaves and discovery lists are never delayed.
  struct ReportBatching {
    Span quiet_period = Span::seconds(0.005), max_delay = Span::seconds(0.04);
  };

  // `unix_epoch`: the instant of Unix time 0 on the clock of step().
  PolicyHost(Settings settings, IdNames names, std::uint64_t seed, Instant unix_epoch,
             ReportBatching batching);
  PolicyHost(Settings settings, IdNames names, std::uint64_t seed, Instant unix_epoch)
      : PolicyHost{std::move(settings), std::move(names), seed, unix_epoch, ReportBatching{}} {}

  // Returns the number of rows skipped because their zone is unknown.
  std::size_t handle_list(const discovery::BackendList& list, bool remembered = false);
  void handle_list_failure() { pending_events_.emplace_back(BackendListUpdate{ListScope::failed, {}}); }
  [[nodiscard]] JoinResult join(StreamId stream, const ProxyJoin& message);
  void leave(StreamId stream);
  [[nodiscard]] bool is_joined(std::uint16_t proxy) const {
    return stream_by_proxy_.contains(ProxyId{proxy});
  }
  [[nodiscard]] std::optional<ZoneId> find_zone(const std::string& name) const;
  // Handles a report of a stream, or of a collector if `from` is empty. Returns the reason for skipping it,
  // or null if it was accepted.
  [[nodiscard]] const char* handle_report(Instant now, std::optional<StreamId> from, const Message& message);

  [[nodiscard]] Effects step(Instant now);
  [[nodiscard]] std::optional<Instant> next_wake() const;
  [[nodiscard]] bool has_pending() const { return !pending_events_.empty() || !queued_reports_.empty(); }

  // Reports since the last call, by zone of the backends, and the current state.
  struct Stats {
    struct Zone {
      double tries = 0, errored = 0, latency_seconds = 0, cpu_sum = 0, cpu_samples = 0;
    };
    std::map<std::string, Zone> zones;
    std::size_t joined_proxies = 0, ready = 0, draining = 0, known_backends = 0, table_entries = 0;
    std::string levels;
    std::string reduced;  // zones, backends and links below their full share, as `name:percent`
    std::string failing;  // backends with errored tries, as `name:errored/tries`
    // Zones whose proxies have no line for an operation that is bound to their zone, as `zone:proxies`.
    std::string without_zone_line;
    // The module's estimate of the channel, in lines and with the overhead of each message: what waits in it,
    // and all that was written to it.
    double channel_backlog = 0, channel_written = 0;
  };
  [[nodiscard]] Stats take_stats();

 private:
  struct Backend {
    std::string name;
    ZoneId zone;
    Availability availability = Availability::ready;
    std::optional<Instant> unlisted_since;  // empty while it is listed
  };
  [[nodiscard]] std::string_view backend_name(BackendId id) const;
  [[nodiscard]] BackendId id_for(const std::string& name);
  void mark_unlisted(BackendId id);
  void forget_unlisted();
  void queue_report(Instant now, Event report);
  [[nodiscard]] std::string zones_without_line() const;
  [[nodiscard]] std::optional<Instant> reports_due() const;  // when to pass on the queued reports

  Policy policy_;
  IdNames names_;
  double proxy_count_;
  std::vector<OperationId> zone_bound_operations_;
  bool removal_is_binding_;
  Instant unix_epoch_, now_;
  ReportBatching batching_;
  ProxyTables tables_;
  std::map<std::string, BackendId, std::less<>> backend_ids_;
  std::map<BackendId, Backend> backends_;
  std::uint32_t last_id_ = 0;
  std::map<StreamId, ProxyId> proxy_by_stream_;
  std::map<ProxyId, StreamId> stream_by_proxy_;
  std::map<ProxyId, ZoneId> zone_by_proxy_;
  std::multimap<Instant, TimerTag> timers_;
  std::vector<Event> pending_events_, queued_reports_;
  Instant first_report_at_, last_report_at_;
  std::map<ZoneId, Stats::Zone> zone_stats_;
  std::map<BackendId, std::pair<int, int>> error_counts_;  // errored and all tries
};

}  // namespace gorsemount::streams
