// One coordinator without its sockets and clock: what comes in by streams and discovery becomes the module's
// events, its orders become messages to streams. Stepped by the caller; what came in since the last step is
// one batch.
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
    std::shared_ptr<const Written> message;
  };
  struct Effects {
    std::vector<Send> sends;
    bool subscribe = false;  // discovery is to be asked for changes
  };
  struct JoinResult {
    const char* refused = nullptr;     // why; null: it has joined
    std::optional<StreamId> succeeds;  // the proxy's stream before this one, which is of no more use
  };

  // The simulator hands on the lines of one report round together, and the module reads them as one picture
  // of the fleet. On sockets they come over some milliseconds; so they wait until none has come for `quiet`,
  // and no longer than `most`. Joins, leavings and the list never wait.
  struct Gather {
    Span quiet = Span::seconds(0.005), most = Span::seconds(0.04);
  };

  // `unix_zero`: where Unix time 0 lies on the clock that step() is handed.
  PolicyHost(Settings settings, IdNames labels, std::uint64_t seed, Instant unix_zero, Gather gather);
  PolicyHost(Settings settings, IdNames labels, std::uint64_t seed, Instant unix_zero)
      : PolicyHost{std::move(settings), std::move(labels), seed, unix_zero, Gather{}} {}

  // Returns how many rows could not be used, since their zone does not exist.
  std::size_t handle_list(const discovery::BackendList& listing, bool remembered = false);
  void handle_list_failure() { pending_.emplace_back(Listed{ListScope::failed, {}}); }
  [[nodiscard]] JoinResult join(StreamId stream, const ProxyJoin& message);
  void leave(StreamId stream);
  [[nodiscard]] bool is_joined(std::uint16_t proxy) const { return proxies_on_.contains(ProxyId{proxy}); }
  [[nodiscard]] std::optional<ZoneId> find_zone(const std::string& name) const;
  // What a stream (or, without one, a collector) reports. Returns why it is skipped; null: it was taken.
  [[nodiscard]] const char* handle_report(Instant now, std::optional<StreamId> from, const Message& message);

  [[nodiscard]] Effects step(Instant now);
  [[nodiscard]] std::optional<Instant> next_wake() const;
  [[nodiscard]] bool pending() const { return !pending_.empty() || !reports_.empty(); }

  // What was heard since the last call, by the backends' zone, and what is in force.
  struct Stats {
    struct Zone {
      double tries = 0, errored = 0, latency_seconds = 0, cpu_sum = 0, cpu_samples = 0;
    };
    std::map<std::string, Zone> zones;
    std::size_t joined_proxies = 0, ready = 0, draining = 0, known_backends = 0, table_entries = 0;
    std::string levels;
    std::string reduced;  // zones, backends and links whose ladder is not whole, with their share
    std::string failing;  // backends that errored: how many of how many tries
  };
  [[nodiscard]] Stats take_stats();

 private:
  struct Backend {
    std::string name;
    ZoneId zone;
    Availability availability = Availability::ready;
    std::optional<Instant> unlisted;  // since when
  };
  [[nodiscard]] BackendId id_of(const std::string& name);
  void unlist(BackendId id);
  void forget();
  void gather(Instant now, Event report);
  [[nodiscard]] std::optional<Instant> ripe() const;  // when the reports at hand are handed on

  Policy policy_;
  IdNames labels_;
  double proxies_;
  bool forgets_;
  Instant unix_zero_, now_;
  Gather gather_;
  Tables tables_;
  std::map<std::string, BackendId, std::less<>> ids_;
  std::map<BackendId, Backend> backends_;
  std::uint32_t last_id_ = 0;
  std::map<StreamId, ProxyId> streams_;
  std::map<ProxyId, StreamId> proxies_on_;
  std::multimap<Instant, TimerTag> timers_;
  std::vector<Event> pending_, reports_;
  Instant first_report_, last_report_;
  std::map<ZoneId, Stats::Zone> heard_;
  std::map<BackendId, std::pair<int, int>> errored_;  // of tries
};

}  // namespace gorsemount::streams
