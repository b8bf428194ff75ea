#include "discovery/watch.hpp"

#include <algorithm>
#include <cerrno>
#include <exception>
#include <utility>

#include "net/http.hpp"
#include "net/http_stream.hpp"

namespace gorsemount::discovery {

namespace {

constexpr std::size_t kPartMost = 4U << 20U;  // a list of ten thousand backends, and some

}  // namespace

// One call: the whole list once, or a watch.
struct Watch::Call {
  explicit Call(net::Loop& on) : loop{on} {}
  ~Call() {
    loop.cancel(deadline);
    if (connection) connection->abort();
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

  net::Loop& loop;
  Endpoint at;
  Instant begun;
  bool watches = true;
  std::shared_ptr<void> attempt;
  std::shared_ptr<net::Connection> connection;
  net::HttpStream answer;
  std::string text;     // what of a line has come, or of the whole list
  bool stands = false;  // a watch whose first line has come, be it empty
  bool quiet = false;   // no line for a silence: another is asked for beside it
  net::Loop::Timer deadline;
};

Watch::Watch(net::Loop& loop, Endpoint to, Timeouts timeouts, std::uint64_t seed, Callbacks callbacks)
    : loop_{loop},
      to_{to},
      timeouts_{timeouts},
      callbacks_{std::move(callbacks)},
      chance_{static_cast<std::uint32_t>(seed)} {}

Watch::~Watch() {
  *alive_ = false;
  loop_.cancel(quiet_), loop_.cancel(again_);
}

bool Watch::established() const { return standing_ != nullptr; }

void Watch::subscribe() {
  if (!asking_ && !standing_) start();
}

void Watch::set_endpoint(Endpoint to) {
  if (to == to_) return;
  to_ = to;
  if (asking_) retire(asking_);  // it asks at the old address
  if (!standing_ || !(standing_->at == to_))
    start();  // back at an address whose watch stands, nothing is to ask
}

// The call ends with `why`, unless it is expected anew before.
void Watch::expect(Call& call, Instant until, const char* why) {
  loop_.cancel(call.deadline);
  call.deadline = loop_.at(until, [this, &call, why] { ended(call, why); });
}

void Watch::start() {
  loop_.cancel(again_);
  asking_ = std::make_unique<Call>(loop_);
  Call* call = asking_.get();
  call->at = to_;
  call->begun = loop_.now();
  call->watches = !needs_resync_;
  expect(*call, loop_.now() + timeouts_.connect, "no connection in time");
  call->attempt = net::connect(loop_, to_, {}, [this, call](net::Fd fd, int fault) {
    if (!fd) return ended(*call, fault == ECONNREFUSED ? "connection refused" : "no connection");
    expect(*call, loop_.now() + timeouts_.answer, "no answer in time");
    call->connection = net::Connection::make(
        loop_, std::move(fd), {kPartMost, 1U << 16U, Span{}, true},
        [this, call](std::string_view bytes) -> std::size_t {
          if (!current(*call)) return bytes.size();
          // An answer in pieces goes on as long as they come, and not for ever.
          if (!call->stands)
            expect(*call, std::min(loop_.now() + timeouts_.silence, call->begun + timeouts_.whole),
                   "its answer broke off");
          const std::size_t used = call->answer.feed(bytes);
          if (used > 0) answered(*call);
          return used;
        },
        [this, call](const char* why) {
          call->answer.end();  // an answer that told no length is whole with the connection's end
          if (current(*call) && call->answer.done()) answered(*call);
          ended(*call, why);
        });
    net::Request request;
    request.target = call->watches ? "/api/targets?watch=1&from=" + std::to_string(version_) : "/api/targets";
    call->connection->send(net::write(request, to_.text()));
  });
}

Span Watch::soon() { return timeouts_.again * std::uniform_real_distribution<>{0.5, 1.5}(chance_); }

void Watch::subscribe_after_delay() {
  loop_.cancel(again_);
  again_ = loop_.after(soon(), [this] { subscribe(); });
}

// Beside a watch that stands: asks again till one answers.
void Watch::start_later() {
  loop_.cancel(again_);
  again_ = loop_.after(soon(), [this] {
    if (!asking_ && standing_ && (standing_->quiet || !(standing_->at == to_))) start();
  });
}

// Some of the answer came.
void Watch::answered(Call& call) {
  const auto resync = [&](const std::string& why) {
    needs_resync_ = true;
    ended(call, why);
  };
  if (!call.answer.error().empty()) return resync("an answer that is no HTTP: " + call.answer.error());
  if (call.answer.status() == 0) return;
  if (call.answer.status() != 200) return ended(call, "status " + std::to_string(call.answer.status()));
  call.text += call.answer.take();
  if (call.watches) {
    std::size_t from = 0;
    for (std::size_t end; (end = call.text.find('\n', from)) != std::string::npos; from = end + 1)
      if (!line(call, std::string_view{call.text}.substr(from, end - from))) return;
    call.text.erase(0, from);
    if (call.text.size() > kPartMost) return resync("a line without end");
    if (call.answer.done()) ended(call, "the watch ended");
  } else if (call.answer.done()) {
    const std::string text = std::move(call.text);
    if (!line(call, text)) return;
    retire(asking_);
    start();  // the list is whole; now what changes
  } else if (call.text.size() > kPartMost) {
    resync("a list without end");
  }
}

// A line of a watch has come: it stands, in the place of the one before, and the next line is due.
void Watch::stands(Call& call) {
  call.stands = true, call.quiet = false;
  if (asking_.get() == &call) {
    if (standing_) retire(standing_);
    standing_ = std::move(asking_);
  }
  expect(call, loop_.now() + timeouts_.dead, "silent");
  loop_.cancel(quiet_);
  quiet_ = loop_.after(timeouts_.silence, [this] {
    if (!standing_) return;
    standing_->quiet = true;
    if (!asking_) start();
  });
}

// False: the call has ended.
bool Watch::line(Call& call, std::string_view text) {
  const auto resync = [&](const std::string& why) {
    needs_resync_ = true;
    ended(call, why);
    return false;
  };
  if (text.find_first_not_of(" \r\t") == std::string_view::npos) {
    // A list that was asked for can't be nothing: taken for one, it would be asked for again at once, and for
    // ever.
    if (!call.watches) return resync("an empty answer");
    stands(call);
    return true;
  }
  BackendList listing;
  try {
    listing = read_backend_list(text);
  } catch (const std::exception& fault) {
    return resync(std::string{"an answer that can't be read: "} + fault.what());
  }
  if (!call.watches && !listing.whole) listing.whole = true;  // the list was asked for, not its changes
  if (listing.version < version_) {
    // Changes on top of a version that is newer than they are: discovery lost its memory.
    if (!listing.whole) return resync("changes to an older list");
    // A whole list that is older than ours is late, or discovery began anew: it is asked once more, and a
    // second one counts. Guards against bringing back what is gone and taking away what is there by an answer
    // that lags.
    if (!std::exchange(older_once_, true)) return resync("a whole list older than ours");
  }
  older_once_ = false;
  if (listing.whole) needs_resync_ = false;
  version_ = listing.version;
  if (call.watches) stands(call);
  callbacks_.list(std::move(listing));
  return true;
}

bool Watch::current(const Call& call) const { return standing_.get() == &call || asking_.get() == &call; }

// A call may be what runs now: it goes when the turn is over, and till then no other has its place in memory.
void Watch::retire(std::unique_ptr<Call>& held) {
  loop_.cancel(held->deadline);
  loop_.call_soon([gone = std::shared_ptr<Call>{std::move(held)}] {});
}

void Watch::ended(Call& call, const std::string& why) {
  if (!current(call)) return;
  const bool stood = standing_.get() == &call;
  retire(stood ? standing_ : asking_);
  if (stood && asking_) return;  // another is asked already: its outcome counts
  if (!stood && standing_) return start_later();
  loop_.call_soon([this, alive = alive_, why] {
    if (*alive && !asking_ && !standing_) callbacks_.failed(why);
  });
}

}  // namespace gorsemount::discovery
