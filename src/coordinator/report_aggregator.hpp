// Aggregates health checks, the workers' own counters and forwarder reports into the policy's reports. Data
// that is late, contradicting or out of range is rejected here.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

enum class SampleFault { none, late, contradicting, out_of_range, went_back };
[[nodiscard]] const char* name_of(SampleFault fault);

class ReportAggregator {
 public:
  // `group_of` maps a source address to its group.
  ReportAggregator(const Settings& settings, std::function<ProxyId(const Address&)> group_of);

  // Takes in a load reply; returns the fault found in it. Part of a faulty reply may still be used:
  // out-of-range load figures do not invalidate the counters.
  SampleFault add_load(Instant now, BackendId backend, Instant requested_at, const LoadSample& sample);
  void add_health_check(BackendId backend, Health health, Span latency);
  // Returns false, and uses nothing of the report, if its figures are impossible.
  bool add_forwarder_report(const ForwarderReport& report, ZoneId zone);
  void forget(BackendId backend);

  // When the process started; nullopt if unknown.
  [[nodiscard]] std::optional<Instant> started_at(BackendId backend) const;
  [[nodiscard]] bool draining(BackendId backend) const;
  // Several consecutive health checks were refused: no process listens at the address, whatever the roster
  // says.
  [[nodiscard]] bool refuses_connections(BackendId backend) const;
  // Whether it has answered a load poll since it last refused connections.
  [[nodiscard]] bool has_reported(BackendId backend) const;

  // Policy reports on everything since the last call.
  [[nodiscard]] std::vector<Event> take_reports(Instant now);

 private:
  using CountKey = std::pair<Prefix, OperationId>;
  struct Counts {
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  struct Tally {
    double tries = 0, errored = 0, latency_sum = 0;
  };
  struct BackendCounters {
    std::optional<LoadSample> last;
    std::map<CountKey, Counts> last_counts;  // as in `last`
    std::optional<Instant> started;
    bool draining = false;
    int refused = 0;  // consecutive refused connections
    std::optional<double> utilization;
    std::map<ZoneId, Tally> tallies;                       // since the last round
    std::map<std::pair<ProxyId, OperationId>, int> taken;  // since the last round
    struct Taken {
      Instant at;
      std::uint64_t taken = 0;
    };
    std::deque<Taken> taken_history;    // total of `taken` over time, to find invocations that never end
    std::uint64_t counted_as_lost = 0;  // taken but never ended, already counted as errored
  };
  void count(Instant now, BackendCounters& row, const LoadSample& sample);

  Settings settings_;
  std::function<ProxyId(const Address&)> group_of_;
  std::map<BackendId, BackendCounters> backends_;
  std::map<std::pair<ProxyId, OperationId>, int> arrived_;  // at forwarders, since the last round
  std::optional<Instant> last_round_;
};

}  // namespace gorsemount::coordinator
