// CommandServer on a loopback socket: what it does with input while it is paused, and of clients that are
// gone.
#include "runtime_api/command_server.hpp"

#include <gtest/gtest.h>
#include <sys/socket.h>

namespace gorsemount::runtime_api {
namespace {

const Endpoint kEndpoint = *Endpoint::parse("127.7.7.7:17009");

struct Fixture {
  Fixture() {
    server.listen(kEndpoint);
    connect();
  }
  void connect() {
    attempt = net::connect(loop, kEndpoint, {}, [this](net::Fd fd, int) { client = std::move(fd); });
    run();
    EXPECT_TRUE(client);
  }
  void run() {
    loop.after(Span::seconds(0.05), [this] { loop.stop(); });
    loop.run();
  }
  void send(const std::string& text) const {
    (void)!::send(client.get(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  net::Loop loop;
  int commands = 0;
  CommandServer server{loop,
                       [this](std::uint64_t, const std::string&, const std::string&) {
                         ++commands;
                         return std::string{"done"};
                       },
                       {}};
  std::shared_ptr<void> attempt;
  net::Fd client;
};

// Guards against memory that grows with all that clients send while commands don't run.
TEST(CommandServer, InputHeldBackWhilePausedIsBounded) {
  Fixture fixture;
  fixture.server.set_paused(true);
  fixture.send("first\n");
  fixture.run();
  for (int k = 0; k < 40; ++k) {
    fixture.send(std::string(100'000, 'x'));
    fixture.run();
  }
  EXPECT_EQ(fixture.server.peers(), 0U);
  fixture.server.set_paused(false);
  fixture.run();
  EXPECT_EQ(fixture.commands, 0);
}

// A client may pipe its command and half-close; one that has reset its connection is gone.
TEST(CommandServer, RunsTheCommandOfAHalfClosedClientAndNotOfOneThatIsGone) {
  Fixture fixture;
  fixture.send("command\n");
  ::shutdown(fixture.client.get(), SHUT_WR);
  fixture.run();
  EXPECT_EQ(fixture.commands, 1);
  fixture.connect();
  fixture.send("prompt\ncommand\n");
  const linger reset_on_close{1, 0};
  setsockopt(fixture.client.get(), SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  fixture.client.reset();
  fixture.run();
  EXPECT_EQ(fixture.commands, 1);
}

}  // namespace
}  // namespace gorsemount::runtime_api
