// Estimate of the channel that carries a coordinator's updates to its proxies. The channel sends messages one
// after the other in the order in which they were written. A message costs its lines and a fixed overhead.
#pragma once

#include "core/time.hpp"
#include "policy/policy.hpp"

namespace gorsemount {

// All amounts are in lines.
class UpdateChannel {
 public:
  explicit UpdateChannel(const Settings& settings);

  [[nodiscard]] double message_cost(double lines) const { return per_message_ + lines; }
  void write(Instant now, double cost);

  // What still waits. Assumes that the channel sends at kAssumedRate of its stated rate, so it is too high
  // while the channel sends faster, and too low only if it sends slower than that.
  [[nodiscard]] double backlog(Instant now) const;
  // True if what can't be put off may be written: it leaves a tenth of the queue free.
  [[nodiscard]] bool has_room_for(Instant now, double cost) const;
  // The backlog up to which changes may be written that can wait for a few seconds.
  [[nodiscard]] double deferrable_limit() const;
  // The backlog up to which whole tables may be written while `owed` has to fit behind them and still arrive
  // within the drain grace, at the stated rate. Never below deferrable_limit(), so that tables get through
  // even where the channel can't carry all that is owed in time.
  [[nodiscard]] double table_limit(double owed) const;
  [[nodiscard]] double change_limit() const { return kTableFraction * capacity_; }

  [[nodiscard]] double total_written() const { return total_written_; }

 private:
  static constexpr double kAssumedRate = 0.8;
  static constexpr double kRequiredFraction = 0.9, kTableFraction = 0.8;

  double capacity_, rate_, per_message_;
  Span drain_grace_, propagation_;
  double backlog_ = 0;  // as of updated_at_
  Instant updated_at_;
  double total_written_ = 0;
};

}  // namespace gorsemount
