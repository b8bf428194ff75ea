// The log of facts: compacted by subject, so that it is its own snapshot. Whoever has read it up to a
// sequence is told what changed since; whoever is new reads it from 0. Bounded in entries; what is gone is
// kept for a while, so that all may hear of it.
#pragma once

#include <vector>

#include "recovery/facts.hpp"

namespace gorsemount::recovery {

class FactLog {
 public:
  // Far above any fleet that we heard of: 10,000 workers with four facts each.
  static constexpr std::size_t kMost = 50'000;
  FactLog() = default;
  explicit FactLog(std::size_t most) : most_{most} {}

  // The one place that works out the difference between what is so now and what the log says. Returns how
  // many entries it wrote. What differs by no more than measuring does is the same.
  std::size_t observe(Instant now, const Facts& present);
  // An entry from a file or from another's log; in the order of sequences.
  void put(Entry entry);

  // Entries above `sequence`, in their order, at most `most` of them.
  [[nodiscard]] std::vector<Entry> after(std::uint64_t sequence, std::size_t most = SIZE_MAX) const;
  [[nodiscard]] std::uint64_t last_sequence() const { return last_; }
  [[nodiscard]] const std::map<Subject, Entry>& entries() const { return entries_; }
  // What is gone and was told to all up to `told`, or long ago, is dropped.
  void purge_deleted(Instant now, std::uint64_t told);

 private:
  void write(Entry entry);
  void bound(Instant now);

  std::size_t most_ = kMost;
  std::uint64_t last_ = 0;
  std::map<Subject, Entry> entries_;
  std::map<std::uint64_t, Subject> order_;
};

}  // namespace gorsemount::recovery
