// A log of facts, compacted by subject, so that it serves as its own snapshot. A reader that knows its last
// sequence receives only later changes; a new reader starts from 0. The number of entries is bounded, and
// tombstones are kept for a while so that every reader sees a deletion.
#pragma once

#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

class FactLog {
 public:
  // Room for 10,000 workers with four facts each.
  static constexpr std::size_t kMaxEntries = 50'000;
  FactLog() = default;
  explicit FactLog(std::size_t max_entries) : max_entries_{max_entries} {}

  // Appends the difference between the current facts and the log; the only place that computes it. Returns
  // the number of entries appended. Differences within measurement noise are ignored.
  std::size_t observe(Instant now, const Facts& current);
  // Adds an entry read from a file or received from another log, in the order of sequences.
  void put(Entry entry);

  // Entries above `sequence` in order, at most `limit` of them.
  [[nodiscard]] std::vector<Entry> after(std::uint64_t sequence, std::size_t limit = SIZE_MAX) const;
  [[nodiscard]] std::uint64_t last_sequence() const { return last_sequence_; }
  [[nodiscard]] const std::map<Subject, Entry>& entries() const { return entries_; }
  // Removes tombstones that are old, or that every reader has received: those up to `acknowledged`.
  void purge_deleted(Instant now, std::uint64_t acknowledged);

 private:
  void append(Entry entry);
  void enforce_limit(Instant now);

  std::size_t max_entries_ = kMaxEntries;
  std::uint64_t last_sequence_ = 0;
  std::map<Subject, Entry> entries_;
  std::map<std::uint64_t, Subject> by_sequence_;
};

}  // namespace gorsemount::recovery
