// Guards against messages between nodes that are misread: split or invalid
// frames, forged or modified sealed messages, and lossy heartbeats.
#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "protocol/control_codec.h"
#include "protocol/frame_codec.h"
#include "protocol/message_cipher.h"

namespace daisywinch::test {

namespace {

constexpr char kSecret[] = "00112233445566778899aabbccddeeff";
constexpr std::size_t kSizeLimit = 1000;

protocol::CallFrame MakeFrame(const std::string& body) {
  protocol::CallFrame frame;
  frame.mutable_request()->set_call_id(7);
  frame.mutable_request()->set_body(body);
  return frame;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_protocol)

BOOST_AUTO_TEST_CASE(frames_are_decoded_from_arbitrary_fragments) {
  const bool holds = rc::check([](const std::vector<std::string>& bodies) {
    std::string bytes;
    for (const std::string& body : bodies) {
      bytes += EncodeFrame(MakeFrame(body));
    }
    FrameDecoder decoder(kSizeLimit);
    std::vector<std::string> decoded;
    while (!bytes.empty()) {
      const std::size_t size =
          *rc::gen::inRange<std::size_t>(1, bytes.size() + 1);
      decoder.Append(bytes.substr(0, size));
      bytes.erase(0, size);
      while (std::optional<protocol::CallFrame> frame = decoder.Next()) {
        decoded.push_back(frame->request().body());
      }
    }
    RC_ASSERT(decoded == bodies);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(decoder_makes_no_progress_after_invalid_input) {
  const bool holds = rc::check([](const std::string& bytes) {
    FrameDecoder decoder(kSizeLimit);
    decoder.Append(bytes);
    while (decoder.Next()) {
    }
    // Either more bytes are needed or the decoder has reported an error.
    RC_ASSERT(!decoder.Next());
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(frame_over_the_size_limit_is_an_error) {
  FrameDecoder decoder(kSizeLimit);
  decoder.Append(EncodeFrame(MakeFrame(std::string(2 * kSizeLimit, 'x'))));
  BOOST_TEST(!decoder.Next());
  BOOST_TEST(!decoder.LastError().empty());
}

BOOST_AUTO_TEST_CASE(sealed_message_opens_with_the_same_secret_only) {
  const MessageCipher sender(kSecret, 1);
  const MessageCipher receiver(kSecret, 2);
  const MessageCipher other_fleet("ffeeddccbbaa99887766554433221100", 1);
  const std::string sealed = sender.Seal("hello");
  BOOST_TEST((receiver.Open(sealed) == "hello"));
  BOOST_TEST(!other_fleet.Open(sealed));
  BOOST_TEST(!receiver.Open(other_fleet.Seal("hello")));
}

BOOST_AUTO_TEST_CASE(modified_or_truncated_message_does_not_open) {
  const MessageCipher cipher(kSecret, 1);
  const std::string sealed = cipher.Seal("transfer ten tokens");
  for (std::size_t index = 0; index < sealed.size(); ++index) {
    std::string changed = sealed;
    changed[index] = static_cast<char>(changed[index] ^ 1);
    BOOST_TEST(!cipher.Open(changed));
    BOOST_TEST(!cipher.Open(sealed.substr(0, index)));
  }
}

BOOST_AUTO_TEST_CASE(heartbeat_round_trips) {
  Heartbeat heartbeat;
  heartbeat.nonce = 99;
  heartbeat.state.vm = "a1";
  heartbeat.state.incarnation = 5;
  heartbeat.state.configuration_version = 3;
  heartbeat.state.vm_list_version = 4;
  heartbeat.state.applied = {true, false, true, true, false,
                             true, true,  true, true, false};
  protocol::ControlMessage envelope;
  envelope.set_sender_vm("a1");
  envelope.set_sender_incarnation(5);
  const Heartbeat decoded =
      DecodeHeartbeat(envelope, EncodeHeartbeat(heartbeat));
  BOOST_TEST(decoded.nonce == 99);
  BOOST_TEST(decoded.state.vm_list_version == 4);
  BOOST_TEST((decoded.state.applied == heartbeat.state.applied));
}

BOOST_AUTO_TEST_CASE(applied_count_is_limited_to_the_bits_received) {
  protocol::HeartbeatMessage message;
  message.set_applied("\x01");
  message.set_applied_count(4'000'000'000);
  BOOST_TEST(DecodeHeartbeat(protocol::ControlMessage(), message)
                 .state.applied.size() == 8);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
