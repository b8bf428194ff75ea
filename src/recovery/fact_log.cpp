#include "recovery/fact_log.hpp"

#include <algorithm>
#include <cmath>

#include "recovery/fact_confidence.hpp"

namespace gorsemount::recovery {

namespace {

// A start time is computed from two readings that differ by network latency.
const Span kStartTimeNoise = Span::seconds(0.25);
// Measured rates vary by this much between rounds.
constexpr double kRateNoise = 0.1;
// As long as the coordinator keeps a backend that left.
const Span kTombstoneLifetime = Span::seconds(600);

bool is_measured(FactKind kind) {
  return kind == FactKind::usual_rate || kind == FactKind::carried || kind == FactKind::further_tries;
}

bool equivalent(FactKind kind, const Fact& a, const Fact& b) {
  if (a.instance != b.instance || a.figures.size() != b.figures.size() || a.times.size() != b.times.size())
    return false;
  const double noise = is_measured(kind) ? kRateNoise : 1e-9;
  for (const auto& [name, figure] : a.figures) {
    const auto it = b.figures.find(name);
    if (it == b.figures.end()) return false;
    if (std::abs(it->second - figure) > noise * std::max({std::abs(figure), std::abs(it->second), 1e-9}))
      return false;
  }
  for (const auto& [name, time] : a.times) {
    const auto it = b.times.find(name);
    if (it == b.times.end() || it->second - time > kStartTimeNoise || time - it->second > kStartTimeNoise)
      return false;
  }
  return true;
}

}  // namespace

const char* name_of(FactKind kind) {
  constexpr const char* names[] = {"zone_ladder", "backend_ladder", "link_ladder",   "cold_start",
                                   "drain",       "carried",        "usual_rate",    "sent_table",
                                   "held_table",  "further_tries",  "person_weight", "person_out",
                                   "person_zone", "hold",           "group_seen",    "group_table",
                                   "table_lines", "table_levels",   "fleet"};
  static_assert(std::size(names) == kFactKindCount);
  return names[static_cast<std::size_t>(kind)];
}

void FactLog::append(Entry entry) {
  if (const auto found = entries_.find(entry.subject); found != entries_.end())
    by_sequence_.erase(found->second.sequence);
  last_sequence_ = std::max(last_sequence_, entry.sequence);
  by_sequence_.insert_or_assign(entry.sequence, entry.subject);
  Subject key = entry.subject;
  entries_.insert_or_assign(std::move(key), std::move(entry));
}

std::size_t FactLog::observe(Instant now, const Facts& current) {
  std::size_t appended = 0;
  for (const auto& [subject, fact] : current) {
    const auto found = entries_.find(subject);
    if (found != entries_.end() && !found->second.deleted &&
        equivalent(subject.kind, found->second.fact, fact))
      continue;
    append({subject, fact, now, last_sequence_ + 1, false});
    ++appended;
  }
  std::vector<Subject> missing;
  for (const auto& [subject, entry] : entries_)
    if (!entry.deleted && !current.contains(subject)) missing.push_back(subject);
  for (auto& subject : missing) {
    Entry entry{std::move(subject), {}, now, last_sequence_ + 1, true};
    entry.fact.instance = entries_.at(entry.subject).fact.instance;
    append(std::move(entry));
    ++appended;
  }
  enforce_limit(now);
  return appended;
}

void FactLog::put(Entry entry) {
  const Instant now = entry.learned;
  append(std::move(entry));
  enforce_limit(now);
}

std::vector<Entry> FactLog::after(std::uint64_t sequence, std::size_t limit) const {
  std::vector<Entry> found;
  for (auto it = by_sequence_.upper_bound(sequence); it != by_sequence_.end() && found.size() < limit; ++it)
    found.push_back(entries_.at(it->second));
  return found;
}

void FactLog::purge_deleted(Instant now, std::uint64_t acknowledged) {
  for (auto it = entries_.begin(); it != entries_.end();) {
    const Entry& e = it->second;
    if (e.deleted && (e.sequence <= acknowledged || now - e.learned > kTombstoneLifetime)) {
      by_sequence_.erase(e.sequence);
      it = entries_.erase(it);
    } else {
      ++it;
    }
  }
}

// Keeps the log bounded if names come and go indefinitely: removes tombstones first, then the least trusted
// entries.
void FactLog::enforce_limit(Instant now) {
  if (entries_.size() <= max_entries_) return;
  purge_deleted(now, last_sequence_);
  if (entries_.size() <= max_entries_) return;
  std::vector<std::pair<double, std::uint64_t>> by_confidence;
  for (const auto& [subject, e] : entries_)
    by_confidence.emplace_back(confidence(subject.kind, now - e.learned), e.sequence);
  std::sort(by_confidence.begin(), by_confidence.end());
  for (std::size_t k = 0; entries_.size() > max_entries_; ++k) {
    const auto it = by_sequence_.find(by_confidence[k].second);
    entries_.erase(it->second);
    by_sequence_.erase(it);
  }
}

}  // namespace gorsemount::recovery
