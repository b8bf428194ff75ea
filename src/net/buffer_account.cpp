#include "net/buffer_account.hpp"

namespace gorsemount::net {

void BufferAccount::update(Holder& holder, std::size_t bytes) {
  if (holder.number_ == 0) holder.number_ = ++last_number_;
  holders_[holder.number_] = &holder;
  held_ = held_ - holder.held_ + bytes;
  holder.held_ = bytes;
  while (held_ > limit_) {
    Holder* const closed = choose_to_close();
    if (closed == nullptr) return;
    ++closed_connections_;
    closed->close_over_limit();
  }
}

void BufferAccount::remove(Holder& holder) {
  if (holders_.erase(holder.number_) == 0) return;
  held_ -= holder.held_;
  holder.held_ = 0;
}

BufferAccount::Holder* BufferAccount::choose_to_close() const {
  Holder* most_input = nullptr;
  Holder* most_output = nullptr;
  std::size_t input = kMinUnfinishedBytes, output = 0;
  for (const auto& [number, holder] : holders_) {
    if (holder->unfinished_input_bytes() > input) {
      input = holder->unfinished_input_bytes();
      most_input = holder;
    }
    if (holder->unread_output_bytes() > output) {
      output = holder->unread_output_bytes();
      most_output = holder;
    }
  }
  return most_input != nullptr ? most_input : most_output;
}

}  // namespace gorsemount::net
