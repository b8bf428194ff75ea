// Decides who is alive: each member pings another in turn; one that does not answer is asked for by others,
// so that one bad path condemns nobody; then it is suspected, and gone unless it speaks up with a new
// incarnation.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <vector>

#include "cluster/messages.hpp"

namespace gorsemount::cluster {

struct MembershipSettings {
  Span ping_every = Span::seconds(0.2);
  Span answer_within = Span::seconds(0.08);  // then others are asked
  int helpers = 3;
  int suspect_rounds = 4;  // times ping_every times the log of the size
};

class Membership {
 public:
  Membership(MemberId self, std::vector<MemberId> others, MembershipSettings settings, std::uint64_t seed,
             Instant now);

  void receive(Instant now, const Message& message);
  // What is due; call it by wake_at() and after each receive(). Messages to send.
  [[nodiscard]] std::vector<Message> tick(Instant now);
  [[nodiscard]] Instant wake_at() const;

  [[nodiscard]] MemberState state_of(MemberId member) const;
  [[nodiscard]] std::vector<MemberId> alive() const;  // self among them, sorted
  [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
  // Rumours to put on another module's message.
  [[nodiscard]] std::vector<MemberUpdate> updates();
  void hear(Instant now, const std::vector<MemberUpdate>& updates);

  // The list of members itself changes by the settings only.
  void set_members(Instant now, std::vector<MemberId> others);

 private:
  struct Row {
    MemberState standing = MemberState::alive;
    std::uint64_t incarnation = 0;
    Instant since;
    int tells = 0;  // how often its rumour is still to be told
  };
  struct Probe {
    MemberId of;
    std::uint64_t number = 0;
    Instant sent, ends;
    bool helped = false;
  };
  struct Errand {  // a ping that somebody else asked for
    MemberId whose;
    std::uint64_t their_number = 0, number = 0;
    Instant until;
  };
  void send(MemberId to, Body body);
  void say(MemberId member);  // its rumour goes round anew
  [[nodiscard]] int tellings() const;
  [[nodiscard]] Span patience() const;

  MemberId self_;
  MembershipSettings s_;
  std::mt19937 chance_;
  std::uint64_t incarnation_ = 1, number_ = 0;
  int self_tells_ = 0;
  std::map<MemberId, Row> rows_;
  std::vector<MemberId> order_;  // of this round's pings, drawn anew for each
  std::size_t next_ = 0;
  Instant next_ping_;
  std::optional<Probe> probe_;
  std::vector<Errand> errands_;
  std::vector<Message> out_;
};

}  // namespace gorsemount::cluster
