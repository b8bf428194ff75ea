#include "coordinator/report_aggregator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordinator/groups.hpp"

namespace gorsemount::coordinator {

namespace {

constexpr std::size_t kTakenSamples =
    64;  // samples of `taken`: at two a second, longer than the usual integration timeouts

// A single refused connection may be the short gap of a restart; a second one, a little later, is taken as
// proof. A cut or slow link causes timeouts, not refusals: these are left to the policy.
constexpr int kRefusalsUntilDown = 2;

// Whether the load figures are possible for any worker: the queue is not negative, the utilization at most 1.
bool in_range(const LoadSample& s) {
  const auto fits = [](const std::optional<double>& v, double most) {
    return !v || (std::isfinite(*v) && *v >= 0 && *v <= most);
  };
  // a little above 1 can come from the worker's rounding
  return fits(s.util, 1.05) && fits(s.queue, 1e7);
}

// A queue beside idle processors: one of the two figures must be wrong. A utilization under a tenth with
// three waiting is more than the sampling times can explain.
bool contradicts(const LoadSample& s) { return s.util && s.queue && *s.util < 0.1 && *s.queue >= 3; }

}  // namespace

const char* name_of(SampleFault fault) {
  constexpr const char* names[] = {"none", "late", "contradicting", "out_of_range", "went_back"};
  return names[static_cast<std::size_t>(fault)];
}

ReportAggregator::ReportAggregator(const Settings& settings, std::function<ProxyId(const Address&)> group_of)
    : settings_{settings}, group_of_{std::move(group_of)} {}

SampleFault ReportAggregator::add_load(Instant now, BackendId backend, Instant requested_at,
                                       const LoadSample& sample) {
  BackendCounters& row = backends_[backend];
  for (const auto& c : sample.counts)
    if (c.succeeded + c.errored > c.taken || !std::isfinite(c.latency) || c.latency < 0)
      return SampleFault::contradicting;
  if (!std::isfinite(sample.uptime) || sample.uptime < 0) return SampleFault::out_of_range;

  SampleFault fault = SampleFault::none;
  if (!row.last || row.last->boot != sample.boot) {
    // Another process: discard the state of the former one, and take its counters as starting at 0.
    row = BackendCounters{};
    row.started = requested_at - Span::seconds(std::min(sample.uptime, 1e9));
  } else {
    std::map<CountKey, Counts> seen;
    for (const auto& c : sample.counts) {
      const auto was = row.last_counts.find({c.source, c.operation});
      if (was == row.last_counts.end()) continue;
      const Counts& old = was->second;
      if (c.taken < old.taken || c.succeeded < old.succeeded || c.errored < old.errored ||
          c.refused < old.refused || c.latency < old.latency - 1e-6)
        return SampleFault::went_back;  // counters of one process never decrease: an old or a false reply
    }
    if (sample.uptime + 1e-3 < row.last->uptime) return SampleFault::went_back;
  }
  row.draining = sample.draining;
  row.refused = 0;  // the process answers again
  // A late reply describes a past load; its counters are cumulative and remain valid.
  if (now - requested_at > settings_.late_after) fault = SampleFault::late;
  if (contradicts(sample)) fault = SampleFault::contradicting;
  if (!in_range(sample)) fault = SampleFault::out_of_range;
  row.utilization =
      fault == SampleFault::none && sample.util ? std::optional{std::min(1.0, *sample.util)} : std::nullopt;
  count(now, row, sample);
  row.last = sample;
  return fault;
}

void ReportAggregator::count(Instant now, BackendCounters& row, const LoadSample& sample) {
  std::uint64_t taken = 0, ended = 0;
  for (const auto& c : sample.counts) {
    taken += c.taken, ended += c.succeeded + c.errored;
    Counts& old = row.last_counts[{c.source, c.operation}];
    const Counts fresh{c.taken, c.succeeded, c.errored, c.refused, c.latency};
    // Counts from before the first reply are not news.
    if (row.last) {
      const ProxyId group = group_of_(c.source.address);
      if (group == GroupMap::kForwarded) {
        old = fresh;
        continue;
      }
      // A draining worker is expected to refuse.
      const double refused = sample.draining ? 0 : static_cast<double>(fresh.refused - old.refused);
      const double errored = static_cast<double>(fresh.errored - old.errored) + refused;
      const double succeeded = static_cast<double>(fresh.succeeded - old.succeeded);
      Tally& tally = row.tallies[settings_.groups[group.value].zone];
      tally.tries += succeeded + errored, tally.errored += errored,
          tally.latency_sum += fresh.latency - old.latency;
      row.taken[{group, c.operation}] +=
          static_cast<int>(fresh.taken - old.taken + fresh.refused - old.refused);
    }
    old = fresh;
  }
  // What was taken longer ago than the longest integration timeout and has not ended counts as errored. This
  // detects a worker that accepts invocations and never answers, even if it reports no errors.
  Span longest_timeout;
  for (const auto& op : settings_.operations)
    longest_timeout = std::max(longest_timeout, op.integration_timeout);
  row.taken_history.push_back({now, taken});
  if (row.taken_history.size() > kTakenSamples) row.taken_history.pop_front();
  std::uint64_t overdue = 0;
  for (const auto& h : row.taken_history)
    if (now - h.at >= longest_timeout) overdue = h.taken;
  if (overdue > ended + row.counted_as_lost) {
    const auto lost = static_cast<double>(overdue - ended - row.counted_as_lost);
    Tally& tally = row.tallies[settings_.zone];
    tally.tries += lost, tally.errored += lost;
    row.counted_as_lost = overdue - ended;
  } else {
    row.counted_as_lost = std::min(row.counted_as_lost, taken - std::min(taken, ended));
  }
}

void ReportAggregator::add_health_check(BackendId backend, Health health, Span latency) {
  BackendCounters& row = backends_[backend];
  Tally& tally = row.tallies[settings_.zone];
  tally.tries += 1;
  if (health == Health::passed) {
    tally.latency_sum += latency.seconds();
  } else {
    tally.errored += 1;
  }
  row.refused = health == Health::refused ? row.refused + 1 : 0;
  // The former reports are from a process that is gone.
  if (row.refused >= kRefusalsUntilDown)
    row.last.reset(), row.last_counts.clear(), row.taken_history.clear(), row.counted_as_lost = 0;
}

bool ReportAggregator::refuses_connections(BackendId backend) const {
  const auto row = backends_.find(backend);
  return row != backends_.end() && row->second.refused >= kRefusalsUntilDown;
}

bool ReportAggregator::add_forwarder_report(const ForwarderReport& report, ZoneId zone) {
  for (const auto& r : report.rows)
    if (r.errored < 0 || r.errored > r.tries || r.mean_latency < Span{} ||
        r.mean_latency > Span::seconds(3600))
      return false;
  for (const auto& r : report.rows) {
    if (r.tries == 0) continue;
    Tally& tally = backends_[r.backend].tallies[zone];
    tally.tries += r.tries, tally.errored += r.errored;
    tally.latency_sum += (r.tries - r.errored) * r.mean_latency.seconds();
  }
  for (const auto& [operation, n] : report.arrived) arrived_[{report.forwarder, operation}] += std::max(0, n);
  return true;
}

void ReportAggregator::forget(BackendId backend) { backends_.erase(backend); }

std::optional<Instant> ReportAggregator::started_at(BackendId backend) const {
  const auto row = backends_.find(backend);
  return row == backends_.end() ? std::nullopt : row->second.started;
}

bool ReportAggregator::draining(BackendId backend) const {
  const auto row = backends_.find(backend);
  return row != backends_.end() && row->second.draining;
}

bool ReportAggregator::has_reported(BackendId backend) const {
  const auto row = backends_.find(backend);
  return row != backends_.end() && row->second.last.has_value();
}

std::vector<Event> ReportAggregator::take_reports(Instant now) {
  const Span interval = last_round_ ? now - *last_round_ : settings_.report_every;
  last_round_ = now;
  std::vector<Event> events;
  std::map<std::pair<ProxyId, OperationId>, int> arrived = std::exchange(arrived_, {});
  for (auto& [backend, row] : backends_) {
    for (const auto& [zone, t] : row.tallies) {
      if (t.tries <= 0) continue;
      BackendReport report{
          zone,     backend,        static_cast<int>(t.tries), static_cast<int>(t.errored), {},
          interval, row.utilization};
      if (t.tries > t.errored) report.mean_latency = Span::seconds(t.latency_sum / (t.tries - t.errored));
      events.emplace_back(report);
    }
    for (const auto& [key, n] : row.taken) arrived[key] += n;
    row.tallies.clear(), row.taken.clear();
    row.utilization.reset();  // reported once per reply: stale load is not repeated
  }
  for (const auto& [key, n] : arrived) events.emplace_back(DemandReport{key.first, key.second, n, interval});
  return events;
}

}  // namespace gorsemount::coordinator
