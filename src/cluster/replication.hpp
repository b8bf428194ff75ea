// Knowledge between controllers: each member has a log of facts and tells it to the others, who keep a copy
// apart for each origin. The log is compacted by subject, so whoever joins or fell behind reads it from where
// it stands and stops nobody. What took longer to come than a stated time is not taken: a copy is never
// younger than it says.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "cluster/messages.hpp"
#include "recovery/fact_log.hpp"

namespace gorsemount::cluster {

struct ReplicationSettings {
  Span beat = Span::seconds(0.5);   // nothing new is said that often too: it confirms what was said
  Span again = Span::seconds(0.4);  // what was not answered is said again
  Span late = Span::seconds(2);     // news that may be older than this on receipt are not taken
  std::size_t bytes = 3000;         // of facts in one message, below a frame's bound
};

class Replication {
 public:
  // `start`: of this life; grows from one to the next.
  Replication(MemberId self, std::vector<MemberId> others, std::uint64_t start,
              ReplicationSettings settings = {});

  // What this member knows now; its log becomes that. Returns how many facts changed.
  std::size_t observe(Instant now, const recovery::Facts& present);
  void receive(Instant now, const Message& message);
  [[nodiscard]] std::vector<Message> tick(Instant now);
  [[nodiscard]] Instant wake_at() const;

  struct Copy {
    std::uint64_t start = 0, upto = 0, last = 0;
    std::optional<Instant> confirmed;  // all of it held at that time, or later
    recovery::FactLog known;
    [[nodiscard]] bool whole() const { return start > 0 && upto == last; }
  };
  [[nodiscard]] const std::map<MemberId, Copy>& copies() const { return copies_; }
  // What came in since the last call, in the order in which it came.
  [[nodiscard]] std::vector<recovery::Entry> take_news();
  // All that the others know and that is believed at this time, one entry a subject; for a leader that takes
  // over.
  [[nodiscard]] std::vector<recovery::Entry> believed(Instant now) const;

  struct Counters {
    std::uint64_t told = 0, taken = 0, late = 0, garbled = 0, too_large = 0;
  };
  [[nodiscard]] const Counters& counters() const { return counters_; }

 private:
  struct Peer {
    std::uint64_t acked = 0;
    std::uint64_t underway = 0;  // up to where, if anything is
    Instant again, beat;
    std::int64_t echo = 0;
  };
  void send(MemberId to, Body body);
  void tell(Instant now, MemberId to, Peer& peer);
  void take(Instant now, MemberId from, const ReplicationBatch& news);

  MemberId self_;
  ReplicationSettings s_;
  std::uint64_t start_;
  recovery::FactLog own_;
  std::map<MemberId, Peer> peers_;
  std::map<MemberId, Copy> copies_;
  std::vector<recovery::Entry> news_;
  std::vector<Message> out_;
  Counters counters_;
};

// What the leader of a group has it use, by the copies: of all that were confirmed lately and say that they
// lead it, the newest word. Empty: nobody is heard.
struct GroupTable {
  std::map<std::string, double> lines;                   // by backend
  std::map<std::string, std::pair<int, double>> levels;  // tries and level, by operation
};
[[nodiscard]] std::optional<GroupTable> table_of(const std::map<MemberId, Replication::Copy>& copies,
                                                 const std::string& group, Instant now);

}  // namespace gorsemount::cluster
