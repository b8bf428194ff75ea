#include "coordinator/report_aggregator.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordinator/groups.hpp"

namespace gorsemount::coordinator {

namespace {

constexpr std::size_t kHistory = 64;  // samples of `taken`: at two a second, longer than any timeout we met

// One refused connection may fall into a restart's gap that is over at once; with a second, asked for a
// little later, it is a fact. A cut or slow link does not refuse, it is silent: that stays for the module to
// judge.
constexpr int kRefusals = 2;

// Figures that can't be, whatever the worker: a queue is no fraction below 0, processors no more than whole.
bool in_range(const LoadSample& s) {
  const auto fits = [](const std::optional<double>& v, double most) {
    return !v || (std::isfinite(*v) && *v >= 0 && *v <= most);
  };
  // A little above 1 is a rounding of the worker's own.
  return fits(s.util, 1.05) && fits(s.queue, 1e7);
}

// Waiting work beside idle processors: one of the two is not true, and nobody can say which. A tenth of the
// processors and three waiting are beyond what a sample between two moments explains.
bool contradicts(const LoadSample& s) { return s.util && s.queue && *s.util < 0.1 && *s.queue >= 3; }

}  // namespace

const char* name_of(SampleFault doubt) {
  constexpr const char* names[] = {"none", "late", "contradicting", "out_of_range", "went_back"};
  return names[static_cast<std::size_t>(doubt)];
}

ReportAggregator::ReportAggregator(const Settings& settings, std::function<ProxyId(const Address&)> group_of)
    : s_{settings}, group_of_{std::move(group_of)} {}

SampleFault ReportAggregator::load(Instant now, BackendId backend, Instant asked, const LoadSample& sample) {
  Row& row = rows_[backend];
  for (const auto& c : sample.counts)
    if (c.succeeded + c.errored > c.taken || !std::isfinite(c.latency) || c.latency < 0)
      return SampleFault::contradicting;
  if (!std::isfinite(sample.uptime) || sample.uptime < 0) return SampleFault::out_of_range;

  SampleFault doubt = SampleFault::none;
  if (!row.last || row.last->boot != sample.boot) {
    // Another process: nothing of the one before counts, and its counters start at nothing.
    row = Row{};
    row.started = asked - Span::seconds(std::min(sample.uptime, 1e9));
  } else {
    std::map<Source, Counts> seen;
    for (const auto& c : sample.counts) {
      const auto was = row.counted.find({c.source, c.operation});
      if (was == row.counted.end()) continue;
      const Counts& old = was->second;
      if (c.taken < old.taken || c.succeeded < old.succeeded || c.errored < old.errored ||
          c.refused < old.refused || c.latency < old.latency - 1e-6)
        return SampleFault::went_back;  // the same process can't have done less: an old reply, or a false one
    }
    if (sample.uptime + 1e-3 < row.last->uptime) return SampleFault::went_back;
  }
  row.draining = sample.draining;
  row.refused = 0;  // whatever listens there now has answered
  // A load that travelled long tells of another time; counters only ever grow and stay true.
  if (now - asked > s_.late_after) doubt = SampleFault::late;
  if (contradicts(sample)) doubt = SampleFault::contradicting;
  if (!in_range(sample)) doubt = SampleFault::out_of_range;
  row.busy =
      doubt == SampleFault::none && sample.util ? std::optional{std::min(1.0, *sample.util)} : std::nullopt;
  count(now, row, sample);
  row.last = sample;
  return doubt;
}

void ReportAggregator::count(Instant now, Row& row, const LoadSample& sample) {
  std::uint64_t taken = 0, ended = 0;
  for (const auto& c : sample.counts) {
    taken += c.taken, ended += c.succeeded + c.errored;
    Counts& old = row.counted[{c.source, c.operation}];
    const Counts fresh{c.taken, c.succeeded, c.errored, c.refused, c.latency};
    // What it had counted before we first heard of it is no news.
    if (row.last) {
      const ProxyId group = group_of_(c.source.address);
      if (group == GroupMap::kForwarded) {
        old = fresh;
        continue;
      }
      // A refusal while it drains is as it should be.
      const double refused = sample.draining ? 0 : static_cast<double>(fresh.refused - old.refused);
      const double errored = static_cast<double>(fresh.errored - old.errored) + refused;
      const double succeeded = static_cast<double>(fresh.succeeded - old.succeeded);
      Tally& tally = row.tallies[s_.groups[group.value].zone];
      tally.tries += succeeded + errored, tally.errored += errored,
          tally.waited += fresh.latency - old.latency;
      row.taken[{group, c.operation}] +=
          static_cast<int>(fresh.taken - old.taken + fresh.refused - old.refused);
    }
    old = fresh;
  }
  // What was taken an integration timeout ago and has not ended never will in time: a worker that accepts and
  // never answers shows so even if it says nothing of errors.
  Span patience;
  for (const auto& op : s_.operations) patience = std::max(patience, op.integration_timeout);
  row.history.push_back({now, taken});
  if (row.history.size() > kHistory) row.history.pop_front();
  std::uint64_t due = 0;
  for (const auto& h : row.history)
    if (now - h.at >= patience) due = h.taken;
  if (due > ended + row.given_up) {
    const auto lost = static_cast<double>(due - ended - row.given_up);
    Tally& tally = row.tallies[s_.zone];
    tally.tries += lost, tally.errored += lost;
    row.given_up = due - ended;
  } else {
    row.given_up = std::min(row.given_up, taken - std::min(taken, ended));
  }
}

void ReportAggregator::health(BackendId backend, Health health, Span took) {
  Row& row = rows_[backend];
  Tally& tally = row.tallies[s_.zone];
  tally.tries += 1;
  if (health == Health::passed) {
    tally.waited += took.seconds();
  } else {
    tally.errored += 1;
  }
  row.refused = health == Health::refused ? row.refused + 1 : 0;
  // What it said of itself was another process's word.
  if (row.refused >= kRefusals) row.last.reset(), row.counted.clear(), row.history.clear(), row.given_up = 0;
}

bool ReportAggregator::absent(BackendId backend) const {
  const auto row = rows_.find(backend);
  return row != rows_.end() && row->second.refused >= kRefusals;
}

bool ReportAggregator::met(const ForwarderReport& met, ZoneId zone) {
  for (const auto& r : met.rows)
    if (r.errored < 0 || r.errored > r.tries || r.mean_latency < Span{} ||
        r.mean_latency > Span::seconds(3600))
      return false;
  for (const auto& r : met.rows) {
    if (r.tries == 0) continue;
    Tally& tally = rows_[r.backend].tallies[zone];
    tally.tries += r.tries, tally.errored += r.errored;
    tally.waited += (r.tries - r.errored) * r.mean_latency.seconds();
  }
  for (const auto& [operation, n] : met.arrived) arrived_[{met.forwarder, operation}] += std::max(0, n);
  return true;
}

void ReportAggregator::forget(BackendId backend) { rows_.erase(backend); }

std::optional<Instant> ReportAggregator::started(BackendId backend) const {
  const auto row = rows_.find(backend);
  return row == rows_.end() ? std::nullopt : row->second.started;
}

bool ReportAggregator::draining(BackendId backend) const {
  const auto row = rows_.find(backend);
  return row != rows_.end() && row->second.draining;
}

bool ReportAggregator::introduced(BackendId backend) const {
  const auto row = rows_.find(backend);
  return row != rows_.end() && row->second.last.has_value();
}

std::vector<Event> ReportAggregator::round(Instant now) {
  const Span over = round_at_ ? now - *round_at_ : s_.report_every;
  round_at_ = now;
  std::vector<Event> events;
  std::map<std::pair<ProxyId, OperationId>, int> arrived = std::exchange(arrived_, {});
  for (auto& [backend, row] : rows_) {
    for (const auto& [zone, t] : row.tallies) {
      if (t.tries <= 0) continue;
      BackendReport report{zone, backend, static_cast<int>(t.tries), static_cast<int>(t.errored), {},
                           over, row.busy};
      if (t.tries > t.errored) report.mean_latency = Span::seconds(t.waited / (t.tries - t.errored));
      events.emplace_back(report);
    }
    for (const auto& [key, n] : row.taken) arrived[key] += n;
    row.tallies.clear(), row.taken.clear();
    row.busy.reset();  // told once for each reply: an old load is not told again
  }
  for (const auto& [key, n] : arrived) events.emplace_back(DemandReport{key.first, key.second, n, over});
  return events;
}

}  // namespace gorsemount::coordinator
