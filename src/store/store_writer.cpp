#include "store/store_writer.hpp"

#include <utility>

namespace gorsemount::store {

using background::StepResult;
using recovery::ClockReading;

namespace {

// What a loss of power may cost: a second. Written and synced twice as often.
const Span kWrite = Span::seconds(0.5);
const Span kCheck = Span::seconds(60);            // between looks at the older generation
constexpr std::uint64_t kCheckBytes = 4U << 20U;  // a second, of those looks
constexpr std::size_t kSlice =
    256U << 10U;  // at a time: a few milliseconds of a usual disk, a sixteenth of the budget
// Of a core for all that is not a promise: what answers shares the machine.
constexpr double kShare = 0.2;

Instant at(const ClockReading& c) { return Instant{} + Span::micros(c.monotonic_us); }

}  // namespace

StoreWriter::StoreWriter(background::Executor& background, std::unique_ptr<Disk> disk, StoreSettings settings,
                         std::vector<recovery::Entry> first, Read clocks, Say say)
    : background_{background},
      disk_{std::move(disk)},
      s_{std::move(settings)},
      clocks_{std::move(clocks)},
      say_{std::move(say)} {
  try {
    store_.emplace(*disk_, s_, clocks_(), first);
    ++counters_.snapshots, counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
  } catch (const DiskError& fault) {
    stop(fault.what());
  }
  for (auto& e : first) known_.put(std::move(e));
  written_ = known_.last_sequence();
  write_ = background_.add({"store write", 0, kWrite, 0, 1}, [this] { return write(); });
  snapshot_ = background_.add({"store snapshot", 1, {}, 0, 1}, [this] { return snapshot(); });
  check_ = background_.add({"store check", 3, kCheck, kCheckBytes, kShare}, [this] { return check(); });
}

StoreWriter::~StoreWriter() {
  for (const auto task : {check_, snapshot_, write_}) background_.remove(task);
  static_cast<void>(write());
}

void StoreWriter::submit(recovery::Facts facts) {
  const std::lock_guard lock{lock_};
  if (!counters_.stopped) waiting_ = std::move(facts);  // the latest is all that counts
}

StoreWriter::Counters StoreWriter::counters() const {
  const std::lock_guard lock{lock_};
  return counters_;
}

void StoreWriter::stop(const std::string& why) {
  say_("store_stopped", why);
  const std::lock_guard lock{lock_};
  counters_.stopped = true, waiting_.reset();
}

StepResult StoreWriter::write() {
  std::optional<recovery::Facts> facts;
  {
    const std::lock_guard lock{lock_};
    if (counters_.stopped) return {};
    facts = std::exchange(waiting_, {});
  }
  try {
    const std::lock_guard hold{store_lock_};
    const ClockReading now = clocks_();
    if (facts) known_.observe(at(now), *facts);
    const auto before = store_->bytes();
    // With nothing new too: that it still holds is news.
    store_->write(now, known_.after(written_));
    store_->sync();
    written_ = known_.last_sequence();
    known_.purge_deleted(at(now), written_);
    const bool due = store_->snapshot_due();
    {
      const std::lock_guard lock{lock_};
      counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
    }
    if (due) background_.request_run(snapshot_);
    return {store_->bytes() - before, true};
  } catch (const DiskError& fault) {
    stop(fault.what());
    return {};
  }
}

StepResult StoreWriter::snapshot() {
  if (counters().stopped) return {};
  try {
    const std::lock_guard hold{store_lock_};
    std::vector<recovery::Entry> live;
    for (auto& e : known_.after(0))
      if (!e.deleted) live.push_back(std::move(e));
    const auto before = store_->bytes();
    store_->snapshot(clocks_(), live);
    const std::lock_guard lock{lock_};
    ++counters_.snapshots, counters_.bytes = store_->bytes(), counters_.syncs = store_->syncs();
    return {store_->bytes() - before, true};
  } catch (const DiskError& fault) {
    stop(fault.what());
    return {};
  }
}

// In slices, of the older generation: the newer one is still being written, and is read at the next start.
StepResult StoreWriter::check() {
  if (counters().stopped) return {};
  std::size_t n = 0;
  try {
    if (!verification_) verification_ = std::make_unique<Verification>(*disk_, s_, older_generation(*disk_));
    n = verification_->slice(kSlice);
    if (!verification_->done()) return {n, false};
    const Checked found = verification_->result();
    if (!found.fault.empty()) say_("store_damaged", found.file + ": " + found.fault);
  } catch (const DiskError& fault) {
    say_("store_damaged", fault.what());  // the folder can't be listed: the next write says if it matters
  }
  verification_.reset();
  const std::lock_guard lock{lock_};
  ++counters_.checked;
  return {n, true};
}

}  // namespace gorsemount::store
