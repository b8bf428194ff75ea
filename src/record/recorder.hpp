// Records a running coordinator. The calling thread only queues each step; encoding, compressing and writing
// are background tasks. If the queue fills up or the disk fails, detail is dropped in a fixed order, and the
// file states how much.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "background/executor.hpp"
#include "coordinator/types.hpp"
#include "record/file.hpp"

namespace gorsemount::record {

// How much of a step is recorded. When the disk is slow, detail is dropped in this order: the text of the
// orders (their digest is kept, so a replay can still be compared), then the inputs (a replay stops there),
// then the whole step.
enum class Detail { all, no_orders, no_inputs, nothing };
[[nodiscard]] Detail detail_for(std::size_t queued, std::size_t limit);

struct RecorderSettings {
  std::string file;
  std::uint64_t max_bytes =
      2ULL << 30U;  // before compression; then the file is rotated, and one old file is kept
  std::size_t max_queued_steps = 4096;
};

class Recorder {
 public:
  // `on_failure` is called at most once, from a background thread. Throws std::runtime_error if the file
  // can't be created. `background` must outlive the recorder.
  Recorder(background::Executor& background, RecorderSettings settings, Header header, Instant base,
           std::function<void(const std::string&)> on_failure);
  ~Recorder();  // writes all queued steps
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // Never blocks on the disk.
  void step(Instant now, std::vector<coordinator::Input> inputs, const coordinator::Effects& effects);
  [[nodiscard]] std::map<std::string, std::uint64_t> dropped_counts() const;

 private:
  struct QueuedStep {
    Instant now;
    std::vector<coordinator::Input> inputs;
    coordinator::Effects effects;
    Detail detail = Detail::all;
  };
  background::StepResult write_batch(std::size_t limit);
  background::StepResult flush();
  void write(const QueuedStep& step);
  void fail(const std::string& why);

  background::Executor& background_;
  RecorderSettings settings_;
  Header header_;
  Instant base_;
  std::function<void(const std::string&)> on_failure_;
  mutable std::mutex lock_;
  std::deque<QueuedStep> queue_;
  std::map<std::string, std::uint64_t> dropped_;
  bool failed_ = false;
  std::mutex writer_lock_;  // guards the following members
  std::unique_ptr<Writer> writer_;
  std::map<std::string, std::uint64_t> reported_;
  background::TaskId write_task_, flush_task_;
};

}  // namespace gorsemount::record
