#include "coordinator/channel.hpp"

#include <algorithm>

namespace gorsemount::coordinator {

namespace {

// Whoever counts messages within the window counts them by a clock and a moment of his own: one that leaves
// as the window ends may arrive before it does. Some milliseconds were seen on a busy machine.
const Span kSlack = Span::seconds(0.1);

// Lines of a message that turns `have` into `want`; a group that is bound anew is sent the whole table.
double lines_between(const Table* have, const Table& want) {
  if (have == nullptr || have->id != want.id)
    return 1 + static_cast<double>(want.lines.size() + want.levels.size());
  double n = 0;
  for (const auto& [id, weight] : want.lines) {
    const auto was = have->lines.find(id);
    n += was == have->lines.end() || was->second != weight ? 1 : 0;
  }
  for (const auto& [id, weight] : have->lines) n += want.lines.contains(id) ? 0 : 1;
  for (std::size_t k = 0; k < want.levels.size(); ++k)
    n += k >= have->levels.size() || !(have->levels[k] == want.levels[k]) ? 1 : 0;
  return n;
}

}  // namespace

void Channel::leave(ProxyId group) {
  groups_.erase(group);
  in_force_.erase(group);
  std::erase_if(queue_, [&](const Underway& u) { return u.group == group; });
}

double Channel::waiting(Instant now) const {
  return std::max(0.0, (free_at_ - now).seconds()) * s_->lines_per_second;
}

std::vector<Message> Channel::dispatch(Instant now) {
  std::vector<Message> written;
  // What a rule forces out goes before what can wait.
  for (const bool urgent : {true, false})
    for (auto& [group, state] : groups_)
      if (state.wanted && state.wanted != state.sent && state.wanted->urgent == urgent)
        send(now, group, state, written);
  return written;
}

void Channel::send(Instant now, ProxyId group, State& state, std::vector<Message>& written) {
  const double lines = lines_between(state.sent.get(), *state.wanted);
  if (lines <= 0) {
    // The same lines in a newer version: whatever carries the older one speaks for the newer too.
    TablePtr* last = nullptr;
    for (auto& u : queue_)
      if (u.group == group) last = &u.table;
    (last != nullptr ? *last : in_force_[group]) = state.wanted;
    state.sent = state.wanted;
    return;
  }
  const double cost = lines + s_->per_message;
  while (!state.messages.empty() && now - state.messages.front() >= s_->messages_window + kSlack)
    state.messages.pop_front();
  const bool capped =
      s_->messages_most > 0 && state.messages.size() >= static_cast<std::size_t>(s_->messages_most);
  if (capped || waiting(now) + cost > s_->backlog) {
    held_back_ += state.held ? 0 : 1;
    state.held = true;
    return;
  }
  state.held = false;
  state.messages.push_back(now);
  free_at_ = std::max(free_at_, now) + Span::seconds(cost / s_->lines_per_second);
  queue_.push_back({group, state.wanted, free_at_});
  state.sent = state.wanted;
  most_ = std::max(most_, waiting(now));
  written.push_back({group, cost, waiting(now)});
}

std::vector<ProxyId> Channel::arrive(Instant now) {
  std::vector<ProxyId> changed;
  while (!queue_.empty() && queue_.front().arrives <= now) {
    in_force_[queue_.front().group] = std::move(queue_.front().table);
    changed.push_back(queue_.front().group);
    queue_.pop_front();
  }
  return changed;
}

std::optional<Instant> Channel::next_arrival() const {
  return queue_.empty() ? std::nullopt : std::optional{queue_.front().arrives};
}

}  // namespace gorsemount::coordinator
