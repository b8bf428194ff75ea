#include "record/recorder.hpp"

#include <xxhash.h>

#include <cstdio>
#include <utility>

#include "record/codec.hpp"

namespace gorsemount::record {

Detail detail_for(std::size_t waiting, std::size_t most) {
  if (waiting >= most) return Detail::nothing;
  if (waiting * 5 >= most * 4) return Detail::no_inputs;
  return waiting * 2 >= most ? Detail::no_orders : Detail::all;
}

namespace {

// A killed process loses what was not flushed: a second of it.
const Span kFlush = Span::seconds(1);
// Steps in a piece: about 2 ms of encoding at 300 workers, so that what is promised waits no longer for a
// lane.
constexpr std::size_t kPiece = 64;
// Of a core: compressing may take what it needs of one that nobody else wants, but no more than half of it.
constexpr double kShare = 0.5;

}  // namespace

Recorder::Recorder(background::Executor& background, RecorderSettings settings, Header header, Instant base,
                   std::function<void(const std::string&)> said)
    : background_{background},
      s_{std::move(settings)},
      header_{std::move(header)},
      base_{base},
      said_{std::move(said)},
      writer_{std::make_unique<Writer>(s_.file, header_)} {
  write_ = background_.add({"record", 2, {}, 0, kShare}, [this] { return piece(kPiece); });
  flush_ = background_.add({"record flush", 2, kFlush, 0, kShare}, [this] { return flush(); });
}

Recorder::~Recorder() {
  background_.remove(write_), background_.remove(flush_);
  while (!piece(kPiece).done) {
  }
  static_cast<void>(flush());
}

void Recorder::step(Instant now, std::vector<coordinator::Input> inputs,
                    const coordinator::Effects& effects) {
  bool first = false;
  {
    const std::lock_guard lock{lock_};
    const Detail detail = broken_ ? Detail::nothing : detail_for(waiting_.size(), s_.waiting_most);
    if (detail >= Detail::no_orders) ++left_out_["orders"];
    if (detail >= Detail::no_inputs) ++left_out_["inputs"];
    if (detail == Detail::nothing) {
      ++left_out_["steps"];
      return;
    }
    first = waiting_.empty();
    waiting_.push_back({now, std::move(inputs), effects, detail});
  }
  if (first) background_.request_run(write_);
}

std::map<std::string, std::uint64_t> Recorder::dropped_counts() const {
  const std::lock_guard lock{lock_};
  return left_out_;
}

void Recorder::write(const Work& work) {
  StepRow row;
  row.t = (work.now - base_).micros();
  std::string orders = text_of(work.effects, base_);
  row.digest = XXH3_64bits(orders.data(), orders.size());
  if (work.detail < Detail::no_orders) row.orders = std::move(orders);
  if (work.detail < Detail::no_inputs) row.inputs = encode(work.inputs, base_);
  writer_->step(row);
  if (writer_->bytes() < s_.bytes_most) return;
  writer_.reset();
  std::rename(s_.file.c_str(), (s_.file + ".old").c_str());
  writer_ = std::make_unique<Writer>(s_.file, header_);
  writer_->missing("beginning", 1);
}

void Recorder::broke(const std::string& why) {
  {
    const std::lock_guard lock{lock_};
    if (std::exchange(broken_, true)) return;
    waiting_.clear();
  }
  said_(why);
}

background::StepResult Recorder::piece(std::size_t most) {
  std::deque<Work> batch;
  bool more = false;
  {
    const std::lock_guard lock{lock_};
    if (broken_) return {};
    for (; batch.size() < most && !waiting_.empty(); waiting_.pop_front())
      batch.push_back(std::move(waiting_.front()));
    more = !waiting_.empty();
  }
  const std::lock_guard hold{writer_lock_};
  const auto before = writer_->bytes();
  try {
    for (const auto& work : batch) write(work);
  } catch (const std::exception& fault) {
    broke(fault.what());
    return {};
  }
  const auto after = writer_->bytes();
  return {after > before ? after - before : 0, !more};
}

background::StepResult Recorder::flush() {
  const auto dropped_counts = this->dropped_counts();
  {
    const std::lock_guard lock{lock_};
    if (broken_) return {};
  }
  const std::lock_guard hold{writer_lock_};
  try {
    for (const auto& [what, n] : dropped_counts)
      if (std::exchange(told_[what], n) != n) writer_->missing(what, n);
    writer_->flush();
  } catch (const std::exception& fault) {
    broke(fault.what());
  }
  return {};
}

}  // namespace gorsemount::record
