// Keeps a coordinator's facts on disk while it runs: the one who steps hands over facts and goes on;
// differences, encoding, writing, syncing, snapshots and the checking of the older generation are background
// work, each a task of its own. A disk that fails stops it: that is said once, and serving goes on.
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
  using Read = std::function<recovery::ClockReading()>;  // the clocks; called from background threads
  using Say = std::function<void(const std::string& event, const std::string& what)>;
  // `background` outlives it.
  StoreWriter(background::Executor& background, std::unique_ptr<Disk> disk, StoreSettings settings,
              std::vector<recovery::Entry> first, Read clocks, Say say);
  ~StoreWriter();  // what was handed over is written
  StoreWriter(const StoreWriter&) = delete;
  StoreWriter& operator=(const StoreWriter&) = delete;

  void submit(recovery::Facts facts);
  struct Counters {
    std::uint64_t bytes = 0, syncs = 0, snapshots = 0,
                  checked = 0;  // checked: whole looks at the older generation
    bool stopped = false;
  };
  [[nodiscard]] Counters counters() const;

 private:
  background::StepResult write();
  background::StepResult snapshot();
  background::StepResult check();
  void stop(const std::string& why);

  background::Executor& background_;
  std::unique_ptr<Disk> disk_;
  StoreSettings s_;
  Read clocks_;
  Say say_;
  mutable std::mutex lock_;  // of waiting_ and counters_: never held while the disk works
  std::optional<recovery::Facts> waiting_;
  Counters counters_;
  std::mutex store_lock_;  // of what follows: a write and a snapshot are never under way together
  std::optional<Store> store_;
  recovery::FactLog known_;
  std::uint64_t written_ = 0;
  std::unique_ptr<Verification> verification_;  // the check's alone
  background::TaskId write_, snapshot_, check_;
};

}  // namespace gorsemount::store
