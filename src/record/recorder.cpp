#include "record/recorder.hpp"

#include <xxhash.h>

#include <cstdio>
#include <utility>

#include "record/codec.hpp"

namespace gorsemount::record {

Detail detail_for(std::size_t queued, std::size_t limit) {
  if (queued >= limit) return Detail::nothing;
  if (queued * 5 >= limit * 4) return Detail::no_inputs;
  return queued * 2 >= limit ? Detail::no_orders : Detail::all;
}

namespace {

// A killed process loses the steps since the last flush.
const Span kFlushInterval = Span::seconds(1);
// About 2 ms of encoding at 300 workers, which bounds how long tasks with a deadline wait for a background
// thread.
constexpr std::size_t kStepsPerBatch = 64;
// Compression uses CPU time that no other task needs, and at most half a core.
constexpr double kMaxCoreShare = 0.5;

}  // namespace

Recorder::Recorder(background::Executor& background, RecorderSettings settings, Header header, Instant base,
                   std::function<void(const std::string&)> on_failure)
    : background_{background},
      settings_{std::move(settings)},
      header_{std::move(header)},
      base_{base},
      on_failure_{std::move(on_failure)},
      writer_{std::make_unique<Writer>(settings_.file, header_)} {
  write_task_ =
      background_.add({"record", 2, {}, 0, kMaxCoreShare}, [this] { return write_batch(kStepsPerBatch); });
  flush_task_ =
      background_.add({"record flush", 2, kFlushInterval, 0, kMaxCoreShare}, [this] { return flush(); });
}

Recorder::~Recorder() {
  background_.remove(write_task_), background_.remove(flush_task_);
  while (!write_batch(kStepsPerBatch).done) {
  }
  static_cast<void>(flush());
}

void Recorder::step(Instant now, std::vector<coordinator::Input> inputs,
                    const coordinator::Effects& effects) {
  bool first = false;
  {
    const std::lock_guard lock{lock_};
    const Detail detail = failed_ ? Detail::nothing : detail_for(queue_.size(), settings_.max_queued_steps);
    if (detail >= Detail::no_orders) ++dropped_["orders"];
    if (detail >= Detail::no_inputs) ++dropped_["inputs"];
    if (detail == Detail::nothing) {
      ++dropped_["steps"];
      return;
    }
    first = queue_.empty();
    queue_.push_back({now, std::move(inputs), effects, detail});
  }
  if (first) background_.request_run(write_task_);
}

std::map<std::string, std::uint64_t> Recorder::dropped_counts() const {
  const std::lock_guard lock{lock_};
  return dropped_;
}

void Recorder::write(const QueuedStep& step) {
  StepRow row;
  row.t = (step.now - base_).micros();
  std::string orders = text_of(step.effects, base_);
  row.digest = XXH3_64bits(orders.data(), orders.size());
  if (step.detail < Detail::no_orders) row.orders = std::move(orders);
  if (step.detail < Detail::no_inputs) row.inputs = encode(step.inputs, base_);
  writer_->step(row);
  if (writer_->bytes() < settings_.max_bytes) return;
  writer_.reset();
  std::rename(settings_.file.c_str(), (settings_.file + ".old").c_str());
  writer_ = std::make_unique<Writer>(settings_.file, header_);
  writer_->missing("beginning", 1);
}

void Recorder::fail(const std::string& why) {
  {
    const std::lock_guard lock{lock_};
    if (std::exchange(failed_, true)) return;
    queue_.clear();
  }
  on_failure_(why);
}

background::StepResult Recorder::write_batch(std::size_t limit) {
  std::deque<QueuedStep> batch;
  bool more = false;
  {
    const std::lock_guard lock{lock_};
    if (failed_) return {};
    for (; batch.size() < limit && !queue_.empty(); queue_.pop_front())
      batch.push_back(std::move(queue_.front()));
    more = !queue_.empty();
  }
  const std::lock_guard hold{writer_lock_};
  const auto before = writer_->bytes();
  try {
    for (const auto& step : batch) write(step);
  } catch (const std::exception& fault) {
    fail(fault.what());
    return {};
  }
  const auto after = writer_->bytes();
  return {after > before ? after - before : 0, !more};
}

background::StepResult Recorder::flush() {
  const auto dropped_counts = this->dropped_counts();
  {
    const std::lock_guard lock{lock_};
    if (failed_) return {};
  }
  const std::lock_guard hold{writer_lock_};
  try {
    for (const auto& [what, n] : dropped_counts)
      if (std::exchange(reported_[what], n) != n) writer_->missing(what, n);
    writer_->flush();
  } catch (const std::exception& fault) {
    fail(fault.what());
  }
  return {};
}

}  // namespace gorsemount::record
