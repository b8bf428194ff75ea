#include "discovery/watch.hpp"

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
  bool watches = true;
  std::shared_ptr<void> attempt;
  std::shared_ptr<net::Connection> connection;
  net::HttpStream answer;
  std::string text;       // what of a line has come, or of the whole list
  bool answered = false;  // its first line was taken
  net::Loop::Timer deadline;
};

Watch::Watch(net::Loop& loop, Endpoint to, Patience patience, Told told)
    : loop_{loop}, to_{to}, patience_{patience}, told_{std::move(told)} {}

Watch::~Watch() { *alive_ = false; }

bool Watch::following() const { return standing_ != nullptr; }

void Watch::follow() {
  if (!asking_ && !standing_) start();
}

void Watch::move(Endpoint to) {
  if (to == to_) return;
  to_ = to;
  asking_.reset();  // it asks at the old address
  start();
}

void Watch::start() {
  asking_ = std::make_unique<Call>(loop_);
  Call* call = asking_.get();
  call->at = to_;
  call->watches = !doubtful_;
  const auto late = [this, call](const char* why) { return [this, call, why] { ended(*call, why); }; };
  call->deadline = loop_.after(patience_.connect, late("no connection in time"));
  call->attempt = net::connect(loop_, to_, {}, [this, call, late](net::Fd fd, int fault) {
    if (!fd) return ended(*call, fault == ECONNREFUSED ? "connection refused" : "no connection");
    loop_.cancel(call->deadline);
    call->deadline = loop_.after(patience_.answer, late("no answer in time"));
    call->connection = net::Connection::make(
        loop_, std::move(fd), {kPartMost, 1U << 16U, Span{}, true},
        [this, call](std::string_view bytes) -> std::size_t {
          if (!current(*call)) return bytes.size();
          const std::size_t used = call->answer.feed(bytes);
          if (used > 0) answered(*call);
          return used;
        },
        [this, call](const char* why) {
          call->answer.end();
          ended(*call, why);
        });
    net::Request request;
    request.target = call->watches ? "/api/targets?watch=1&from=" + std::to_string(version_) : "/api/targets";
    call->connection->send(net::write(request, to_.text()));
  });
}

// Some of the answer came.
void Watch::answered(Call& call) {
  const auto doubt = [&](const std::string& why) {
    doubtful_ = true;
    ended(call, why);
  };
  if (!call.answer.fault().empty()) return doubt("an answer that is no HTTP: " + call.answer.fault());
  if (call.answer.status() == 0) return;
  if (call.answer.status() != 200) return ended(call, "status " + std::to_string(call.answer.status()));
  heard_ = loop_.now();
  call.text += call.answer.take();
  if (call.watches) {
    if (call.answered) {
      loop_.cancel(call.deadline);
      call.deadline = loop_.after(patience_.silence, [this, &call] { ended(call, "silent"); });
    }
    std::size_t from = 0;
    for (std::size_t end; (end = call.text.find('\n', from)) != std::string::npos; from = end + 1)
      if (!line(call, std::string_view{call.text}.substr(from, end - from))) return;
    call.text.erase(0, from);
    if (call.text.size() > kPartMost) return doubt("a line without end");
    if (call.answer.done()) ended(call, "the watch ended");
  } else if (call.answer.done()) {
    const std::string text = std::move(call.text);
    if (!line(call, text)) return;
    retire(asking_);
    start();  // the list is whole; now what changes
  } else if (call.text.size() > kPartMost) {
    doubt("a list without end");
  }
}

// False: the call has ended.
bool Watch::line(Call& call, std::string_view text) {
  if (text.find_first_not_of(" \r\t") == std::string_view::npos) return true;
  Listing listing;
  try {
    listing = read_listing(text);
  } catch (const std::exception& fault) {
    doubtful_ = true;
    ended(call, std::string{"an answer that can't be read: "} + fault.what());
    return false;
  }
  if (!call.watches && !listing.whole) listing.whole = true;  // the list was asked for, not its changes
  // Changes on top of a version that is newer than they are: discovery lost its memory.
  if (!listing.whole && listing.version < version_) {
    doubtful_ = true;
    ended(call, "changes to an older list");
    return false;
  }
  if (listing.whole) doubtful_ = false;
  version_ = listing.version;
  if (call.watches && !call.answered) {
    call.answered = true;
    loop_.cancel(call.deadline);
    call.deadline = loop_.after(patience_.silence, [this, &call] { ended(call, "silent"); });
    if (asking_.get() == &call) {
      if (standing_) retire(standing_);  // the old address's
      standing_ = std::move(asking_);
    }
  }
  told_.list(std::move(listing));
  return true;
}

bool Watch::current(const Call& call) const { return standing_.get() == &call || asking_.get() == &call; }

// A call may be what runs now: it goes when the turn is over.
void Watch::retire(std::unique_ptr<Call>& held) {
  loop_.cancel(held->deadline);
  loop_.soon([gone = std::shared_ptr<Call>{std::move(held)}] {});
}

void Watch::ended(Call& call, const std::string& why) {
  if (!current(call)) return;
  const bool stood = standing_.get() == &call;
  retire(stood ? standing_ : asking_);
  if (stood && asking_) return;  // another is asked already: its outcome counts
  if (!stood && standing_) {     // a move that failed, while the old watch stands: try again
    loop_.after(Span::seconds(0.3), [this, alive = alive_] {
      if (*alive && !asking_ && standing_ && standing_->at != to_) start();
    });
    return;
  }
  loop_.soon([this, alive = alive_, why] {
    if (*alive && !asking_ && !standing_) told_.failed(why);
  });
}

}  // namespace gorsemount::discovery
