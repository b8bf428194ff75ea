// Persists a coordinator's facts in the background. The caller submits facts and continues; diffing,
// encoding, writing, syncing, snapshots and verification of the older generation run as background tasks. A
// disk error stops the writer and is reported once; the coordinator keeps serving.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "background/executor.hpp"
#include "store/store.hpp"

namespace gorsemount::store {

class StoreWriter {
 public:
  using ReadClocks = std::function<recovery::ClockReading()>;  // called from background threads
  using Report = std::function<void(const std::string& event, const std::string& detail)>;
  // `executor` must outlive the writer.
  StoreWriter(background::Executor& executor, std::unique_ptr<Disk> disk, StoreSettings settings,
              std::vector<recovery::Entry> initial, ReadClocks read_clocks, Report report);
  ~StoreWriter();  // writes the facts that were submitted last
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  void submit(recovery::Facts facts);
  struct Counters {
    std::uint64_t bytes = 0, syncs = 0, snapshots = 0,
                  verifications = 0;  // completed, of the older generation
    bool stopped = false;
  };
  [[nodiscard]] Counters counters() const;

 private:
  background::StepResult write();
  background::StepResult snapshot();
  background::StepResult verify();
  void stop(const std::string& reason);

  background::Executor& executor_;
  std::unique_ptr<Disk> disk_;
  StoreSettings s_;
  ReadClocks read_clocks_;
  Report report_;
  mutable std::mutex mutex_;  // guards submitted_ and counters_; never held during disk I/O
  std::optional<recovery::Facts> submitted_;
  Counters counters_;
  std::mutex store_mutex_;  // guards the three members below: a write and a snapshot never overlap
  std::optional<Store> store_;
  recovery::FactLog log_;
  std::uint64_t written_ = 0;
  std::unique_ptr<FileVerifier> verifier_;  // used only by verify()
  background::TaskId write_task_, snapshot_task_, verify_task_;
};

}  // namespace gorsemount::store
