// Records a coordinator while it runs. The one who steps hands over and goes on: encoding, compressing and
// writing are background work. What there is no room or no disk for is left out in a stated order, and the
// file says so.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <mutex>

#include "background/executor.hpp"
#include "coordinator/types.hpp"
#include "record/file.hpp"

namespace gorsemount::record {

// What of a step is kept. The order in which detail goes when the disk is slow: first what was ordered, in
// words (its digest stays, so a replay can still be compared); then what was heard (then nothing can be
// replayed from there on); then the step.
enum class Detail { all, no_orders, no_inputs, nothing };
[[nodiscard]] Detail detail_for(std::size_t waiting, std::size_t most);

struct RecorderSettings {
  std::string file;
  std::uint64_t bytes_most =
      2ULL << 30U;                  // before compression; then a new file begins and one old one is kept
  std::size_t waiting_most = 4096;  // steps
};

class Recorder {
 public:
  // `said` is called from a background thread, once a fault. Throws std::runtime_error if the file can't be
  // made. `background` outlives it.
  Recorder(background::Executor& background, RecorderSettings settings, Header header, Instant base,
           std::function<void(const std::string&)> said);
  ~Recorder();  // what was handed over is written
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;

  // Never waits for the disk.
  void step(Instant now, std::vector<coordinator::Input> inputs, const coordinator::Effects& effects);
  [[nodiscard]] std::map<std::string, std::uint64_t> dropped_counts() const;

 private:
  struct Work {
    Instant now;
    std::vector<coordinator::Input> inputs;
    coordinator::Effects effects;
    Detail detail = Detail::all;
  };
  background::StepResult piece(std::size_t most);
  background::StepResult flush();
  void write(const Work& work);
  void broke(const std::string& why);

  background::Executor& background_;
  RecorderSettings s_;
  Header header_;
  Instant base_;
  std::function<void(const std::string&)> said_;
  mutable std::mutex lock_;
  std::deque<Work> waiting_;
  std::map<std::string, std::uint64_t> left_out_;
  bool broken_ = false;
  std::mutex writer_lock_;  // of what follows
  std::unique_ptr<Writer> writer_;
  std::map<std::string, std::uint64_t> told_;
  background::TaskId write_, flush_;
};

}  // namespace gorsemount::record
