// Decides what counts as evidence: turns health calls and the workers' own counters into report lines for the
// module. What is late, missing, contradicting or out of range is told apart here and goes no further.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <set>

#include "coordinator/types.hpp"

namespace gorsemount::coordinator {

enum class SampleFault { none, late, contradicting, out_of_range, went_back };
[[nodiscard]] const char* name_of(SampleFault doubt);

class ReportAggregator {
 public:
  // `group_of` tells whose clients a source belongs to.
  ReportAggregator(const Settings& settings, std::function<ProxyId(const Address&)> group_of);

  // Of a load reply; what of it is doubted. A reply may be partly of use: figures out of range void the load,
  // not the counts.
  SampleFault load(Instant now, BackendId backend, Instant asked, const LoadSample& sample);
  void health(BackendId backend, Health health, Span took);
  // Of a forwarder; false: its figures can't be, and none of them is taken.
  bool met(const ForwarderReport& met, ZoneId zone);
  void forget(BackendId backend);

  // When its process started, as far as it matters: absent if unknown or long ago.
  [[nodiscard]] std::optional<Instant> started(BackendId backend) const;
  [[nodiscard]] bool draining(BackendId backend) const;
  // Its process is gone, whatever a list says: its machine refuses connections, several times in a row.
  [[nodiscard]] bool absent(BackendId backend) const;
  // Has said when it started, since it was last absent.
  [[nodiscard]] bool introduced(BackendId backend) const;

  // Everything since the last call, as the module's report lines.
  [[nodiscard]] std::vector<Event> round(Instant now);

 private:
  using Source = std::pair<Prefix, OperationId>;
  struct Counts {
    std::uint64_t taken = 0, succeeded = 0, errored = 0, refused = 0;
    double latency = 0;
  };
  struct Tally {
    double tries = 0, errored = 0, waited = 0;
  };
  struct Row {
    std::optional<LoadSample> last;
    std::map<Source, Counts> counted;  // as in `last`
    std::optional<Instant> started;
    bool draining = false;
    int refused = 0;  // connections in a row
    std::optional<double> busy;
    std::map<ZoneId, Tally> tallies;                       // since the last round
    std::map<std::pair<ProxyId, OperationId>, int> taken;  // since the last round
    struct Taken {
      Instant at;
      std::uint64_t taken = 0;
    };
    std::deque<Taken> history;   // of `taken` in all, for what is never answered
    std::uint64_t given_up = 0;  // of those, already counted as errored
  };
  void count(Instant now, Row& row, const LoadSample& sample);

  Settings s_;
  std::function<ProxyId(const Address&)> group_of_;
  std::map<BackendId, Row> rows_;
  std::map<std::pair<ProxyId, OperationId>, int> arrived_;  // at forwarders, since the last round
  std::optional<Instant> round_at_;
};

}  // namespace gorsemount::coordinator
