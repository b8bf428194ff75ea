// Facts on a disk: a log of changes behind a snapshot, in generations. A generation is `N.store`: its
// snapshot is written to `N.new`, synced, renamed, the folder synced; changes follow behind it. Two
// generations are kept. What a loss of power leaves is a prefix of what was written, and a record is taken
// only if its checksum, and with a key its MAC over all before it, is right.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "recovery/age.hpp"
#include "recovery/fact_log.hpp"
#include "store/disk.hpp"

namespace gorsemount::store {

inline constexpr std::uint16_t kSchema = 2;  // 1 had no times beside the facts' own
using MacKey = std::array<std::uint8_t, 32>;

struct StoreSettings {
  std::string owner;  // of whom the facts are; another's are not taken
  std::optional<MacKey> key;
  std::size_t snapshot_threshold_bytes =
      1U << 20U;  // bytes of changes behind a snapshot, or as many as it has itself if more
  // For tests that must find the damage.
  bool sync = true, check = true;
};

struct Loaded {
  std::vector<recovery::Entry> entries;  // times on the reader's clock
  std::optional<Instant> confirmed_at;   // all of it held then; absent: nobody can tell, it is hints
  recovery::Age age;
  std::uint64_t generation = 0;
  std::string empty_reason;         // why there is nothing; empty: there is something
  std::vector<std::string> faults;  // what was passed over, with file and place
};

// `now`: the reader's clocks; its Instants count in `now.monotonic_us`.
[[nodiscard]] Loaded load(Disk& disk, const StoreSettings& settings, const recovery::ClockReading& now);

class Store {
 public:
  // Begins a new generation from what is given. Throws DiskError.
  Store(Disk& disk, StoreSettings settings, const recovery::ClockReading& now,
        const std::vector<recovery::Entry>& entries);

  // What changed, and that the rest still holds. Throws DiskError; the store is then of no more use.
  void write(const recovery::ClockReading& now, const std::vector<recovery::Entry>& changes);
  void sync();
  [[nodiscard]] bool snapshot_due() const;
  void snapshot(const recovery::ClockReading& now, const std::vector<recovery::Entry>& entries);
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  void record(std::string& out, std::uint8_t kind, const recovery::ClockReading& now,
              std::string_view payload);
  [[nodiscard]] std::string name(std::uint64_t generation) const;

  Disk* disk_;
  StoreSettings s_;
  std::uint64_t generation_ = 0, sequence_ = 0, bytes_ = 0, syncs_ = 0;
  std::size_t behind_ = 0, of_snapshot_ = 0;
  std::array<std::uint8_t, 32> chain_{};
};

// Of one file: each record's place, kind and what is wrong with the first bad one. For people.
struct Checked {
  std::string file, fault;
  std::size_t records = 0, bytes = 0, valid_bytes = 0;
  bool snapshot_complete = false;
};
[[nodiscard]] std::vector<Checked> verify(Disk& disk, const StoreSettings& settings);

// The same of one file, a slice at a time, in memory that does not grow with the file but with its largest
// record.
class Verification {
 public:
  // `file` empty: nothing is to be done.
  Verification(Disk& disk, const StoreSettings& settings, std::string file);
  ~Verification();
  Verification(const Verification&) = delete;
  Verification& operator=(const Verification&) = delete;
  // Reads on by `bytes` at most; returns how many it read. A file that is gone meanwhile is no fault.
  std::size_t slice(std::size_t bytes);
  [[nodiscard]] bool done() const;
  [[nodiscard]] Checked result() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};
// The file's name; empty if there is only one.
[[nodiscard]] std::string older_generation(Disk& disk);

}  // namespace gorsemount::store
