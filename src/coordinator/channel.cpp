#include "coordinator/channel.hpp"

#include <algorithm>

namespace gorsemount::coordinator {

namespace {

// A receiver counts the messages of a window by its own clock and on arrival, so a message sent as the window
// ends may arrive within it. Differences of some milliseconds were seen on a busy machine.
const Span kWindowMargin = Span::seconds(0.1);

// Lines of the message that changes `current` into `target`. A proxy that is bound to another table is sent
// the whole table.
double lines_between(const Table* current, const Table& target) {
  if (current == nullptr || current->id != target.id)
    return 1 + static_cast<double>(target.lines.size() + target.levels.size());
  double n = 0;
  for (const auto& [id, weight] : target.lines) {
    const auto was = current->lines.find(id);
    n += was == current->lines.end() || was->second != weight ? 1 : 0;
  }
  for (const auto& [id, weight] : current->lines) n += target.lines.contains(id) ? 0 : 1;
  for (std::size_t k = 0; k < target.levels.size(); ++k)
    n += k >= current->levels.size() || !(current->levels[k] == target.levels[k]) ? 1 : 0;
  return n;
}

}  // namespace

void Channel::leave(ProxyId group) {
  groups_.erase(group);
  in_force_.erase(group);
  std::erase_if(in_flight_, [&](const Transfer& u) { return u.group == group; });
}

double Channel::backlog(Instant now) const {
  return std::max(0.0, (idle_at_ - now).seconds()) * settings_->lines_per_second;
}

std::vector<Message> Channel::dispatch(Instant now) {
  std::vector<Message> written;
  // Removals of unusable backends go first.
  for (const bool urgent : {true, false})
    for (auto& [group, state] : groups_)
      if (state.target && state.target != state.sent && state.target->urgent == urgent)
        send(now, group, state, written);
  return written;
}

void Channel::send(Instant now, ProxyId group, State& state, std::vector<Message>& written) {
  const double lines = lines_between(state.sent.get(), *state.target);
  if (lines <= 0) {
    // The lines are the same in the newer version: the last update in flight, or the table in force, takes
    // its number.
    TablePtr* last = nullptr;
    for (auto& u : in_flight_)
      if (u.group == group) last = &u.table;
    (last != nullptr ? *last : in_force_[group]) = state.target;
    state.sent = state.target;
    return;
  }
  const double cost = lines + settings_->per_message;
  while (!state.messages.empty() &&
         now - state.messages.front() >= settings_->messages_window + kWindowMargin)
    state.messages.pop_front();
  const bool over_message_limit = settings_->messages_most > 0 &&
                                  state.messages.size() >= static_cast<std::size_t>(settings_->messages_most);
  if (over_message_limit || backlog(now) + cost > settings_->backlog) {
    deferred_messages_ += state.deferred ? 0 : 1;
    state.deferred = true;
    return;
  }
  state.deferred = false;
  state.messages.push_back(now);
  idle_at_ = std::max(idle_at_, now) + Span::seconds(cost / settings_->lines_per_second);
  in_flight_.push_back({group, state.target, idle_at_});
  state.sent = state.target;
  peak_backlog_ = std::max(peak_backlog_, backlog(now));
  written.push_back({group, cost, backlog(now)});
}

std::vector<ProxyId> Channel::take_arrived(Instant now) {
  std::vector<ProxyId> changed;
  while (!in_flight_.empty() && in_flight_.front().arrival <= now) {
    in_force_[in_flight_.front().group] = std::move(in_flight_.front().table);
    changed.push_back(in_flight_.front().group);
    in_flight_.pop_front();
  }
  return changed;
}

std::optional<Instant> Channel::next_arrival() const {
  return in_flight_.empty() ? std::nullopt : std::optional{in_flight_.front().arrival};
}

}  // namespace gorsemount::coordinator
