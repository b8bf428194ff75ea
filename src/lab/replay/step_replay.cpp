#include "lab/replay/step_replay.hpp"

#include <fmt/format.h>
#include <xxhash.h>

#include <sstream>
#include <stdexcept>

#include "config/settings.hpp"
#include "coordinator/coordinator.hpp"
#include "record/codec.hpp"

namespace gorsemount::lab {

namespace {

std::string first_line_that_differs(const std::string& a, const std::string& b) {
  std::istringstream x{a}, y{b};
  std::string p, q;
  for (std::size_t n = 1;; ++n) {
    const bool more_a = static_cast<bool>(std::getline(x, p)), more_b = static_cast<bool>(std::getline(y, q));
    if (!more_a && !more_b) return "";
    if (!more_a) p = "(nothing)";
    if (!more_b) q = "(nothing)";
    if (p != q || more_a != more_b)
      return fmt::format("line {}\n    recorded: {}\n    replayed: {}", n, p.substr(0, 300),
                         q.substr(0, 300));
  }
}

}  // namespace

StepReplay replay_steps(const record::Recording& r) {
  config::Findings findings;
  const auto settings = config::read_settings(r.header.settings, "the recorded settings", findings);
  if (!findings.faults.empty()) throw std::runtime_error{findings.faults.front().text()};
  StepReplay result;
  for (const auto& m : r.missing)
    if (m.find("beginning") != std::string::npos) {
      result.stopped = "the recording does not begin where the coordinator began";
      return result;
    }
  coordinator::Coordinator core{settings.core, coordinator::policy_decision_maker(settings.core)};
  for (std::size_t k = 0; k < r.steps.size(); ++k) {
    const auto& step = r.steps[k];
    if (step.inputs.empty()) {
      result.stopped = fmt::format("step {} was recorded without what was heard", k);
      break;
    }
    const auto inputs = record::decode(step.inputs, Instant{});
    if (const auto* fault = std::get_if<std::string>(&inputs))
      throw std::runtime_error{fmt::format("step {}: {}", k, *fault)};
    const auto effects =
        core.step(Instant{} + Span::micros(step.t), std::get<std::vector<coordinator::Input>>(inputs));
    const std::string orders = record::text_of(effects, Instant{});
    ++result.compared;
    if (XXH3_64bits(orders.data(), orders.size()) == step.digest) continue;
    result.difference = fmt::format(
        "step {} at {:.6f} s ordered otherwise: {}\n  its input: {} bytes of {} inputs", k,
        static_cast<double>(step.t) / 1e6,
        step.orders.empty() ? "(its words were not kept)" : first_line_that_differs(step.orders, orders),
        step.inputs.size(), std::get<std::vector<coordinator::Input>>(inputs).size());
    break;
  }
  return result;
}

}  // namespace gorsemount::lab
