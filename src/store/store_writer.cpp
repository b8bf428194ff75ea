#include "store/store_writer.hpp"

#include <utility>

namespace gorsemount::store {

using background::StepResult;
using recovery::ClockReading;

namespace {

// A power failure may lose one second of changes; writing and syncing run twice as often.
const Span kWriteInterval = Span::seconds(0.5);
const Span kVerifyInterval = Span::seconds(60);  // between verifications of the older generation
constexpr std::uint64_t kVerifyBytesPerSecond = 4U << 20U;
// A few milliseconds of a typical disk, a sixteenth of a second's byte budget.
constexpr std::size_t kSliceBytes = 256U << 10U;
// Fraction of a core for work without a deadline; request handling shares the machine.
constexpr double kVerifyTimeShare = 0.2;

Instant monotonic_instant(const ClockReading& reading) {
  return Instant{} + Span::micros(reading.monotonic_us);
}

}  // namespace

StoreWriter::StoreWriter(background::Executor& executor, std::unique_ptr<Disk> disk, StoreSettings settings,
                         std::vector<recovery::Entry> initial, ReadClocks read_clocks, Report report)
    : executor_{executor},
      disk_{std::move(disk)},
      s_{std::move(settings)},
      read_clocks_{std::move(read_clocks)},
      report_{std::move(report)} {
  try {
    store_.emplace(*disk_, s_, read_clocks_(), initial);
    ++counters_.snapshots, counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
  } catch (const DiskError& fault) {
    stop(fault.what());
  }
  for (auto& e : initial) log_.put(std::move(e));
  written_ = log_.last_sequence();
  write_task_ = executor_.add({"store write", 0, kWriteInterval, 0, 1}, [this] { return write(); });
  snapshot_task_ = executor_.add({"store snapshot", 1, {}, 0, 1}, [this] { return snapshot(); });
  verify_task_ = executor_.add({"store check", 3, kVerifyInterval, kVerifyBytesPerSecond, kVerifyTimeShare},
                               [this] { return verify(); });
}

StoreWriter::~StoreWriter() {
  for (const auto task : {verify_task_, snapshot_task_, write_task_}) executor_.remove(task);
  static_cast<void>(write());
}

void StoreWriter::submit(recovery::Facts facts) {
  const std::lock_guard lock{mutex_};
  if (!counters_.stopped) submitted_ = std::move(facts);  // only the latest facts matter
}

StoreWriter::Counters StoreWriter::counters() const {
  const std::lock_guard lock{mutex_};
  return counters_;
}

void StoreWriter::stop(const std::string& reason) {
  report_("store_stopped", reason);
  const std::lock_guard lock{mutex_};
  counters_.stopped = true, submitted_.reset();
}

StepResult StoreWriter::write() {
  std::optional<recovery::Facts> facts;
  {
    const std::lock_guard lock{mutex_};
    if (counters_.stopped) return {};
    facts = std::exchange(submitted_, {});
  }
  try {
    const std::lock_guard store_lock{store_mutex_};
    const ClockReading now = read_clocks_();
    if (facts) log_.observe(monotonic_instant(now), *facts);
    const auto bytes_before = store_->bytes();
    // Also written without changes: the record confirms that the facts still hold.
    store_->write(now, log_.after(written_));
    store_->sync();
    written_ = log_.last_sequence();
    log_.purge_deleted(monotonic_instant(now), written_);
    const bool snapshot_due = store_->snapshot_due();
    {
      const std::lock_guard lock{mutex_};
      counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
    }
    if (snapshot_due) executor_.request_run(snapshot_task_);
    return {store_->bytes() - bytes_before, true};
  } catch (const DiskError& fault) {
    stop(fault.what());
    return {};
  }
}

StepResult StoreWriter::snapshot() {
  if (counters().stopped) return {};
  try {
    const std::lock_guard store_lock{store_mutex_};
    std::vector<recovery::Entry> live;
    for (auto& e : log_.after(0))
      if (!e.deleted) live.push_back(std::move(e));
    const auto bytes_before = store_->bytes();
    store_->snapshot(read_clocks_(), live);
    const std::lock_guard lock{mutex_};
    ++counters_.snapshots, counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
    return {store_->bytes() - bytes_before, true};
  } catch (const DiskError& fault) {
    stop(fault.what());
    return {};
  }
}

// Verifies the older generation in slices; the newer one is still being written and is read at the next
// start.
StepResult StoreWriter::verify() {
  if (counters().stopped) return {};
  std::size_t bytes_read = 0;
  try {
    if (!verifier_) verifier_ = std::make_unique<FileVerifier>(*disk_, s_, older_generation(*disk_));
    bytes_read = verifier_->read_slice(kSliceBytes);
    if (!verifier_->done()) return {bytes_read, false};
    const FileCheck result = verifier_->result();
    if (!result.fault.empty()) report_("store_damaged", result.file + ": " + result.fault);
  } catch (const DiskError& fault) {
    // The directory cannot be listed; the next write fails if it matters.
    report_("store_damaged", fault.what());
  }
  verifier_.reset();
  const std::lock_guard lock{mutex_};
  ++counters_.verifications;
  return {bytes_read, true};
}

}  // namespace gorsemount::store
