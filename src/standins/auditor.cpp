#include "standins/auditor.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <set>

namespace gorsemount::standins {

namespace {

double seconds(std::int64_t micros) { return static_cast<double>(micros) / 1e6; }

// The start time of each running worker and the workers that drain, by the records so far. Tells whether the
// roster listed a warm worker.
class WorkerStates {
 public:
  void apply(const Record& r) {
    const std::string worker = r.text("worker");
    if (r.what == "start") up_[worker] = {r.t, r.fields.value("cold", false)};
    if (r.what == "down") up_.erase(worker);
    if (r.what == "told_draining") draining_.insert(worker);
    if (r.what == "told_ready") draining_.erase(worker);
  }
  [[nodiscard]] bool any_warm(std::int64_t t, Span cold_for) const {
    return std::any_of(up_.begin(), up_.end(), [&](const auto& row) {
      return !draining_.contains(row.first) &&
             (!row.second.second || t - row.second.first >= cold_for.micros());
    });
  }

 private:
  std::map<std::string, std::pair<std::int64_t, bool>> up_;
  std::set<std::string> draining_;
};

// The longest time for which all lookups of a group returned no worker although the roster listed a warm one.
// A rate-limited response counts as served.
Verdict check_unserved_groups(const Day& day, const std::vector<Record>& records) {
  Verdict v{"1 nobody left without a worker", true, 0, day.unserved.seconds(), "s", ""};
  std::map<std::string, std::int64_t> unserved_since;
  WorkerStates workers;
  for (const auto& r : records) {
    workers.apply(r);
    if (r.what != "lookup") continue;
    const std::string group = r.text("zone") + " " + r.text("operation");
    const bool served = r.number("lines") > 0 || r.fields.value("limited", false);
    const auto began = r.t - static_cast<std::int64_t>(r.number("took") * 1e6);
    const auto it = unserved_since.find(group);
    if (!served && workers.any_warm(r.t, day.cold_for)) {
      const auto since = it == unserved_since.end() ? began : it->second;
      unserved_since.try_emplace(group, began);
      const double unserved = seconds(r.t - since);
      if (unserved > v.worst) v.worst = unserved, v.detail = group;
    } else {
      unserved_since.erase(group);
    }
  }
  v.kept = v.worst <= v.limit;
  return v;
}

// The longest time for which a forwarder had no worker to select for an operation although one was warm.
Verdict check_unserved_forwarders(const Day& day, const std::vector<Record>& records) {
  Verdict v{"1 no forwarder without a worker", true, 0, day.unserved.seconds(), "s", ""};
  std::map<std::string, std::int64_t> since;
  WorkerStates workers;
  for (const auto& r : records) {
    workers.apply(r);
    if (r.what != "bare" && (r.what != "sent" || !r.fields.contains("forwarder"))) continue;
    const std::string subject = r.text("forwarder") + " " + r.text("operation");
    if (r.what == "sent" || !workers.any_warm(r.t, day.cold_for)) {
      since.erase(subject);
      continue;
    }
    const double unserved = seconds(r.t - since.try_emplace(subject, r.t).first->second);
    if (unserved >= v.worst) v.worst = unserved, v.detail = subject;
  }
  v.kept = v.worst <= v.limit;
  return v;
}

// In a shared fleet, a forwarder must not accept a command of a lower term than one it accepted since it
// started.
Verdict check_terms(const std::vector<Record>& records) {
  Verdict v{"terms only grow at a forwarder", true, 0, 0, "commands of a lower term", ""};
  std::map<std::string, std::uint64_t> highest;
  for (const auto& r : records) {
    if (r.what == "forwarder_start") highest.erase(r.text("forwarder"));
    if (r.what != "obeyed") continue;
    auto& seen = highest[r.text("forwarder")];
    const auto term = r.fields.value("term", std::uint64_t{0});
    if (term < seen) ++v.worst, v.detail = r.text("forwarder");
    seen = std::max(seen, term);
  }
  v.kept = v.worst <= v.limit;
  return v;
}

Verdict check_duplicate_effects(const Day& day, const std::vector<Record>& records) {
  Verdict v{"2 no effect twice", true, 0, 1, "effects", ""};
  std::set<std::string> side_effecting;
  for (const auto& operation : day.operations)
    if (operation.effect == "side-effecting") side_effecting.insert(operation.name);
  std::map<std::string, int> began;
  for (const auto& r : records)
    if (r.what == "began" && side_effecting.contains(r.text("operation")))
      if (const int n = ++began[r.text("id")]; n > v.worst) v.worst = n, v.detail = r.text("id");
  v.kept = v.worst <= v.limit;
  return v;
}

// Clients that honour TTLs must stop sending to a draining worker within the grace period. Clients that
// ignore them may go on sending, but the worker must reject those invocations once the grace period is over.
void check_drains(const Day& day, const std::vector<Record>& records, std::uint64_t& refused,
                  std::vector<Verdict>& out) {
  Verdict sending{"3 drains kept, sending",   true, 0, day.drain_grace.seconds(),
                  "s after the announcement", ""};
  Verdict accepted{"3 drains kept, work taken on", true, 0, day.drain_grace.seconds(),
                   "s after the announcement",     ""};
  std::map<std::string, std::int64_t> announced;
  std::map<std::string, bool> compliant;  // by invocation ID
  std::map<std::string, std::string> forwarder_of;
  std::map<std::string, std::int64_t> joined;  // start of each forwarder's current stream
  for (const auto& r : records) {
    if (r.what == "joined") joined[r.text("forwarder")] = r.t;
    if (r.what == "left") joined.erase(r.text("forwarder"));
    if (r.what == "sent") forwarder_of[r.text("id")] = r.text("forwarder");
    if (r.what == "told_draining") announced[r.text("worker")] = r.t;
    if (r.what == "told_ready") announced.erase(r.text("worker"));
    if (r.what == "sent") compliant[r.text("id")] = r.fields.value("obeys", true);
    const auto it = r.what == "arrived" ? announced.find(r.text("worker")) : announced.end();
    if (it == announced.end()) continue;
    const bool rejected = r.fields.value("refused", false);
    const std::string subject = r.text("worker") + " " + r.text("id");
    // The rule applies to a forwarder only while a coordinator is connected, and counts from the connection.
    std::int64_t from = it->second;
    const std::string& forwarder = forwarder_of[r.text("id")];
    if (!forwarder.empty()) {
      if (!joined.contains(forwarder)) continue;
      from = std::max(from, joined[forwarder]);
    }
    const double after = seconds(r.t - from);
    if (compliant[r.text("id")]) {
      if (after > sending.worst) sending.worst = after, sending.detail = subject;
    } else {
      refused += rejected ? 1 : 0;
    }
    if (!rejected && after > accepted.worst) accepted.worst = after, accepted.detail = subject;
  }
  // The worker starts its own grace timer slightly after the roster is written.
  constexpr double kStartSlackSeconds = 0.05;
  sending.kept = sending.worst <= sending.limit,
  accepted.kept = accepted.worst <= accepted.limit + kStartSlackSeconds;
  out.push_back(sending), out.push_back(accepted);
}

// The highest ratio of the work that reached a cold worker within a window to its capacity in that window.
Verdict check_cold_load(const Day& day, const std::vector<Record>& records) {
  Verdict v{"4 no cold worker pushed over", true, 0, day.tip_multiple, "times its capacity", ""};
  struct ColdWorker {
    std::int64_t start = 0;
    double cores = 1, sum = 0;
    std::deque<std::pair<std::int64_t, double>> arrivals;
  };
  std::map<std::string, ColdWorker> cold_workers;
  for (const auto& r : records) {
    const std::string worker = r.text("worker");
    if (r.what == "start") {
      cold_workers.erase(worker);
      if (r.fields.value("cold", false)) cold_workers[worker] = {r.t, r.number("cores"), 0, {}};
    }
    if (r.what == "fell") v.kept = false, v.detail = worker + " crashed by overload";
    const auto it = r.what == "arrived" ? cold_workers.find(worker) : cold_workers.end();
    if (it == cold_workers.end()) continue;
    ColdWorker& state = it->second;
    const double age = seconds(r.t - state.start) / day.cold_for.seconds();
    if (age >= 1) continue;
    state.arrivals.emplace_back(r.t, r.number("work")), state.sum += r.number("work");
    while (r.t - state.arrivals.front().first > day.tip_after.micros())
      state.sum -= state.arrivals.front().second, state.arrivals.pop_front();
    const double capacity =
        state.cores * (day.cold_from + (1 - day.cold_from) * age) * day.tip_after.seconds();
    if (state.sum / capacity > v.worst) {
      v.worst = state.sum / capacity;
      if (v.kept) v.detail = worker;
    }
  }
  v.kept = v.kept && v.worst <= v.limit;
  return v;
}

// Recomputes the channel's backlog from the messages that were written and its configured drain rate.
void check_channel(const Day& day, const std::vector<Record>& records, std::vector<Verdict>& out) {
  const double limit = day.unsafe.backlog_judged > 0 ? day.unsafe.backlog_judged : day.backlog;
  Verdict lines{"5 lines waiting in a channel", true, 0, limit, "lines", ""};
  Verdict messages{"5 messages to a group", true, 0, static_cast<double>(day.messages_most),
                   "in the window",         ""};
  struct State {
    double waiting = 0;
    std::int64_t at = 0;
    std::map<int, std::deque<std::int64_t>> sent;
  };
  std::map<std::string, State> states;
  for (const auto& r : records) {
    if (r.what == "coordinator_start") states[r.text("coordinator")] = {};
    if (r.what != "message") continue;
    State& state = states[r.text("coordinator")];
    state.waiting =
        std::max(0.0, state.waiting - seconds(r.t - state.at) * day.lines_per_second) + r.number("lines");
    state.at = r.t;
    if (state.waiting > lines.worst) lines.worst = state.waiting, lines.detail = r.text("coordinator");
    auto& sent_times = state.sent[r.fields.value("group", 0)];
    sent_times.push_back(r.t);
    while (r.t - sent_times.front() >= day.messages_window.micros()) sent_times.pop_front();
    if (static_cast<double>(sent_times.size()) > messages.worst)
      messages.worst = static_cast<double>(sent_times.size()), messages.detail = r.text("coordinator");
  }
  lines.kept = lines.worst <= lines.limit;
  out.push_back(lines);
  if (day.messages_most <= 0) return;
  messages.kept = messages.worst <= messages.limit;
  out.push_back(messages);
}

void count_outcomes(const Day& day, const std::vector<Record>& records, Audit& audit) {
  std::map<std::string, double> value_of;
  for (const auto& operation : day.operations) value_of[operation.name] = operation.billed_value;
  std::map<std::string, std::size_t> phase_of;  // by invocation
  for (const auto& r : records) {
    if (r.what == "phase") audit.by_phase.emplace_back(r.text("name"), ServiceCounts{});
    if (r.what == "asked") {
      if (audit.by_phase.empty()) audit.by_phase.emplace_back("start", ServiceCounts{});
      phase_of[r.text("id")] = audit.by_phase.size() - 1;
    }
    if (r.what != "asked" && r.what != "done") continue;
    const std::string operation = r.text("operation");
    for (ServiceCounts* c :
         {&audit.whole, &audit.by_operation[operation], &audit.by_phase[phase_of[r.text("id")]].second}) {
      if (r.what == "asked") {
        c->offered_value += value_of[operation], ++c->invocations;
        continue;
      }
      const std::string outcome = r.text("outcome");
      if (outcome == "succeeded") c->value_in_time += value_of[operation];
      c->late += outcome == "late", c->errored += outcome == "errored";
      c->rate_limited += outcome == "rate_limited", c->no_line += outcome == "no_line";
    }
  }
}

void measure_reactions(const std::vector<Record>& records, Audit& audit) {
  struct Crash {
    std::int64_t since = 0;
    std::optional<std::int64_t> first_without, last_with;
  };
  std::map<std::string, std::string> address_of;
  std::map<std::string, Crash> crashed;  // by address
  std::map<std::string, std::pair<std::int64_t, std::int64_t>>
      draining;  // by worker: time of the announcement, time of the last send
  std::map<std::string, bool> compliant;
  const auto record_crash = [&](const Crash& d) {
    if (d.first_without) audit.crash_to_first_removal.seconds.push_back(seconds(*d.first_without - d.since));
    if (d.last_with) audit.crash_to_last_listing.seconds.push_back(seconds(*d.last_with - d.since));
  };
  for (const auto& r : records) {
    if (r.what == "start") {
      address_of[r.text("worker")] = r.text("at");
      if (const auto it = crashed.find(r.text("at")); it != crashed.end())
        record_crash(it->second), crashed.erase(it);
    } else if (r.what == "down") {
      crashed[address_of[r.text("worker")]] = {r.t, {}, {}};
    } else if (r.what == "lookup" && r.fields.value("srv", false) && r.number("lines") > 0) {
      for (auto& [at, d] : crashed) {
        const auto& listed = r.fields.at("listed");
        const bool with = std::find(listed.begin(), listed.end(), at) != listed.end();
        if (with) d.last_with = r.t;
        if (!with && !d.first_without) d.first_without = r.t;
      }
    } else if (r.what == "told_draining") {
      draining[r.text("worker")] = {r.t, r.t};
    } else if (r.what == "told_ready") {
      if (const auto it = draining.find(r.text("worker")); it != draining.end()) {
        audit.drain_to_last_send.seconds.push_back(seconds(it->second.second - it->second.first));
        draining.erase(it);
      }
    } else if (r.what == "sent") {
      compliant[r.text("id")] = r.fields.value("obeys", true);
    } else if (r.what == "arrived" && compliant[r.text("id")]) {
      if (const auto it = draining.find(r.text("worker")); it != draining.end()) it->second.second = r.t;
    }
  }
  for (const auto& [at, d] : crashed) record_crash(d);
  std::map<std::string, std::int64_t> ended_streams;
  for (const auto& r : records) {
    if (r.what == "left") ended_streams[r.text("forwarder")] = r.t;
    const auto it = r.what == "joined" ? ended_streams.find(r.text("forwarder")) : ended_streams.end();
    if (it == ended_streams.end()) continue;
    audit.leaderless_times.seconds.push_back(seconds(r.t - it->second));
    ended_streams.erase(it);
  }
  for (const auto& r : records) audit.cuts += r.what == "cut" ? 1 : 0;
  for (const auto& r : records)
    if (r.what == "in_force") audit.in_force.seconds.push_back(r.number("took"));
}

}  // namespace

double ReactionTimes::median() const {
  if (seconds.empty()) return 0;
  std::vector<double> sorted = seconds;
  std::sort(sorted.begin(), sorted.end());
  return sorted[sorted.size() / 2];
}
double ReactionTimes::worst() const {
  return seconds.empty() ? 0 : *std::max_element(seconds.begin(), seconds.end());
}

bool Audit::kept() const {
  return std::all_of(verdicts.begin(), verdicts.end(), [](const Verdict& v) { return v.kept; });
}

Audit audit(const Day& day, const std::vector<Record>& records) {
  Audit a;
  a.verdicts.push_back(check_unserved_groups(day, records));
  if (!day.forwarders.empty()) a.verdicts.push_back(check_unserved_forwarders(day, records));
  if (day.shared) a.verdicts.push_back(check_terms(records));
  a.verdicts.push_back(check_duplicate_effects(day, records));
  check_drains(day, records, a.disobedient_refused, a.verdicts);
  a.verdicts.push_back(check_cold_load(day, records));
  check_channel(day, records, a.verdicts);
  count_outcomes(day, records, a);
  measure_reactions(records, a);
  return a;
}

}  // namespace gorsemount::standins
