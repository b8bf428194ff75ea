// Stores facts as a snapshot followed by a log of changes, in numbered generations. The snapshot of
// generation N is written to `N.new`, synced and renamed to `N.store`, and the directory is synced; changes
// are appended to that file. Two generations are kept. A power failure leaves a prefix of what was written: a
// record is accepted only if its checksum matches and, with a key, its MAC over all records up to it.
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

inline constexpr std::uint16_t kSchema = 2;  // version 1 stored no times other than those of the facts
using MacKey = std::array<std::uint8_t, 32>;

struct StoreSettings {
  std::string owner;  // name of the coordinator; files of another owner are rejected
  std::optional<MacKey> key;
  // A snapshot is due once the log exceeds this and the size of the last snapshot.
  std::size_t snapshot_threshold_bytes = 1U << 20U;
  // Turned off only by tests, which must then detect the damage.
  bool sync = true, check = true;
};

struct LoadedFacts {
  std::vector<recovery::Entry> entries;  // times on the reader's clock
  std::optional<Instant> confirmed_at;  // when all of it last held; absent: unknown, the facts are only hints
  recovery::Age age;
  std::uint64_t generation = 0;
  std::string empty_reason;         // why nothing was loaded; empty: something was
  std::vector<std::string> faults;  // data that was skipped, with file and position
};

// `now`: the reader's clocks; the returned Instants are on the clock of `now.monotonic_us`.
[[nodiscard]] LoadedFacts load(Disk& disk, const StoreSettings& settings, const recovery::ClockReading& now);

class Store {
 public:
  // Starts a new generation with the given entries. Throws DiskError.
  Store(Disk& disk, StoreSettings settings, const recovery::ClockReading& now,
        const std::vector<recovery::Entry>& entries);

  // Appends changes; the record also confirms that all other facts still hold. Throws DiskError, after which
  // the store must not be used.
  void write(const recovery::ClockReading& now, const std::vector<recovery::Entry>& changes);
  void sync();
  [[nodiscard]] bool snapshot_due() const;
  void snapshot(const recovery::ClockReading& now, const std::vector<recovery::Entry>& entries);
  [[nodiscard]] std::uint64_t bytes() const { return bytes_; }
  [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

 private:
  void append_record(std::string& out, std::uint8_t kind, const recovery::ClockReading& now,
                     std::string_view payload);
  [[nodiscard]] std::string file_name(std::uint64_t generation) const;

  Disk* disk_;
  StoreSettings s_;
  std::uint64_t generation_ = 0, sequence_ = 0, bytes_ = 0, syncs_ = 0;
  std::size_t log_bytes_ = 0, snapshot_bytes_ = 0;
  std::array<std::uint8_t, 32> previous_mac_{};
};

// The result of verifying one file, for operators.
struct FileCheck {
  std::string file, fault;  // fault: position and cause of the first bad record
  std::size_t records = 0, bytes = 0, valid_bytes = 0;
  bool snapshot_complete = false;
};
[[nodiscard]] std::vector<FileCheck> verify(Disk& disk, const StoreSettings& settings);

// Verifies one file a slice at a time; memory is bounded by its largest record, not by its size.
class FileVerifier {
 public:
  // An empty `file` is done at once.
  FileVerifier(Disk& disk, const StoreSettings& settings, std::string file);
  ~FileVerifier();
  FileVerifier(const FileVerifier&) = delete;
  FileVerifier& operator=(const FileVerifier&) = delete;
  // Reads on by at most `max_bytes`; returns the number read. A file that was removed meanwhile is no fault.
  std::size_t read_slice(std::size_t max_bytes);
  [[nodiscard]] bool done() const;
  [[nodiscard]] FileCheck result() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};
// The file name of the second newest generation; empty if there are fewer than two.
[[nodiscard]] std::string older_generation(Disk& disk);

}  // namespace gorsemount::store
