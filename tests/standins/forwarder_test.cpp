// The stand-in forwarder with a raw client and a worker that counts, on loopback sockets.
#include "standins/forwarder.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace gorsemount::standins {
namespace {

const Endpoint kForwarder = *Endpoint::parse("127.7.7.21:17051");
const Endpoint kRuntime = *Endpoint::parse("127.7.7.21:17052");
const Endpoint kWorker = *Endpoint::parse("127.7.7.22:17053");

struct Fixture {
  Fixture() : forwarder{loop, recorder, settings(), 1} {
    attempt = net::connect(loop, kForwarder, {}, [this](net::Fd fd, int) { client = std::move(fd); });
    run();
    EXPECT_TRUE(client);
  }
  static ForwarderSettings settings() {
    ForwarderSettings made;
    made.name = "f-1", made.zone = "a";
    made.listen = kForwarder, made.runtime = kRuntime;
    DayOperation operation;
    operation.name = "lookup";
    operation.effect = "idempotent";
    operation.integration_timeout = Span::seconds(2);
    made.operations = {operation};
    made.initial_servers = {{"w-1", "a", kWorker}};
    return made;
  }
  void run() {
    loop.after(Span::seconds(0.1), [this] { loop.stop(); });
    loop.run();
  }
  void send_requests(int count) const {
    std::string text;
    for (int k = 0; k < count; ++k)
      text += net::write(net::Request{"POST", "/invoke/lookup", {}, "id-" + std::to_string(k), true}, "f-1");
    EXPECT_EQ(::send(client.get(), text.data(), text.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(text.size()));
  }
  // The worker takes all requests and never answers.
  net::Loop loop;
  std::string received;
  std::vector<std::shared_ptr<net::Connection>> connections;
  net::Listener worker{loop, kWorker, [this](net::Fd fd, const Endpoint&) {
                         connections.push_back(net::Connection::make(
                             loop, std::move(fd), {},
                             [this](std::string_view bytes) {
                               received += bytes;
                               return bytes.size();
                             },
                             [](const char*) {}));
                       }};
  Recorder recorder{"/dev/null"};
  Forwarder forwarder;
  std::shared_ptr<void> attempt;
  net::Fd client;
};

TEST(Forwarder, ForwardsTheRequestsOfAClientThatWaits) {
  Fixture fixture;
  fixture.send_requests(5);
  fixture.run();
  EXPECT_NE(fixture.received.find("id-0"), std::string::npos);
  EXPECT_NE(fixture.received.find("id-4"), std::string::npos);
}

// Guards against requests that run although their client has closed, and run again when it sends them anew.
TEST(Forwarder, DoesNotForwardTheRequestsOfAClientThatHasClosed) {
  Fixture fixture;
  fixture.send_requests(5);
  fixture.client.reset();
  fixture.run();
  EXPECT_EQ(fixture.received, "");
}

}  // namespace
}  // namespace gorsemount::standins
