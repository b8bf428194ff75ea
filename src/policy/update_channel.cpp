#include "policy/update_channel.hpp"

#include <algorithm>

namespace gorsemount {

UpdateChannel::UpdateChannel(const Settings& settings)
    : capacity_{settings.backlog},
      rate_{settings.push_rate},
      per_message_{settings.per_message},
      drain_grace_{settings.drain_grace},
      propagation_{settings.propagation} {}

void UpdateChannel::write(Instant now, double cost) {
  backlog_ = backlog(now) + cost;
  updated_at_ = now;
  total_written_ += cost;
}

double UpdateChannel::backlog(Instant now) const {
  return std::max(0.0, backlog_ - (now - updated_at_).seconds() * rate_ * kAssumedRate);
}

bool UpdateChannel::has_room_for(Instant now, double cost) const {
  return backlog(now) + cost <= kRequiredFraction * capacity_;
}

double UpdateChannel::deferrable_limit() const {
  return std::min(0.5 * capacity_, 0.2 * drain_grace_.seconds() * rate_);
}

double UpdateChannel::table_limit(double owed) const {
  const double in_time = (drain_grace_ - propagation_).seconds() * rate_ - owed;
  return std::min(change_limit(), std::max(deferrable_limit(), in_time));
}

}  // namespace gorsemount
