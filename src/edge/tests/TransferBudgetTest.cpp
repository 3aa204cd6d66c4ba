#include <wagtailrack/edge/TransferBudget.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <vector>

using namespace wagtailrack;
using namespace wagtailrack::edge;

TEST_GROUP(TransferBudget) {};

// Guards against servers that together fill the memory of an instance although each message is within its limit.
TEST(TransferBudget, messagesTogetherStayWithinTheTotal)
{
    const TransferLimits limits = transferLimitsFor(160'000'000, 20e6);
    TransferBudget budget(limits);
    std::vector<ReservationPointer> messages;
    size_t accepted = 0;
    for (int index = 0; index < 30; ++index) {
        messages.push_back(std::make_shared<TransferBudget::Reservation>(budget));
        accepted += messages.back()->resize(limits.messageBytes) ? 1 : 0;
    }
    CHECK_TRUE(accepted >= 4 && accepted < 30);
    CHECK_TRUE(budget.reservedBytes() <= limits.totalBytes);
    // An ordinary message needs no room in the budget.
    TransferBudget::Reservation ordinary(budget);
    CHECK_TRUE(ordinary.resize(30'000));
    messages.clear();
    LONGS_EQUAL(0, budget.reservedBytes());
}

// Guards against a single message without end.
TEST(TransferBudget, messageAboveItsLimitIsRefused)
{
    TransferBudget budget(transferLimitsFor(160'000'000, 20e6));
    TransferBudget::Reservation message(budget);
    CHECK_TRUE(message.resize(budget.limits().messageBytes));
    CHECK_FALSE(message.resize(budget.limits().messageBytes + 1));
    LONGS_EQUAL(1, budget.refusedMessageCount());
}

// Guards against a link that is filled by large messages: thirty servers that send at full speed are read at the
// permitted rate in sum, and ordinary messages are not delayed.
TEST(TransferBudget, largeMessagesShareTheirPartOfTheLink)
{
    constexpr size_t chunk = 65'536;
    TransferBudget budget(transferLimitsFor(160'000'000, 20e6));
    std::vector<ReservationPointer> messages;
    std::vector<SteadyTime> nextReadAt;
    const SteadyTime start(Milliseconds(1000));
    for (int index = 0; index < 30; ++index) {
        messages.push_back(std::make_shared<TransferBudget::Reservation>(budget));
        nextReadAt.push_back(start);
    }
    double readBytes = 0;
    constexpr int64_t durationMs = 10'000;
    for (SteadyTime now = start; now < start + Milliseconds(durationMs); now += Milliseconds(1)) {
        for (size_t index = 0; index < messages.size(); ++index) {
            if (now < nextReadAt[index])
                continue;
            readBytes += chunk;
            nextReadAt[index] = now + Milliseconds(1) + messages[index]->delayAfterReading(chunk, now);
        }
        TransferBudget::Reservation ordinary(budget);
        LONGS_EQUAL(0, ordinary.delayAfterReading(30'000, now).count());
    }
    // Twenty megabits are 2.5 MB a second.
    CHECK_TRUE(readBytes < 2.5e6 * durationMs / 1000);
}

// Guards against downloads that are delayed beyond their deadline of 3 s by the limits for large messages: on a link of
// 10 Mbit/s, fifteen responses of 90 kB and two of 540 kB that begin together are written within it, the usual ones
// before the large ones, and within the bandwidth of the link.
TEST(TransferBudget, streamedResponsesMeetTheirDeadlineOnASmallLink)
{
    constexpr size_t piece = 8192;
    constexpr size_t usual = 90'000;
    constexpr size_t large = 540'000;
    TransferBudget budget(transferLimitsFor(160'000'000, 10e6));
    const SteadyTime start(Milliseconds(1000));
    std::vector<size_t> remaining(15, usual);
    remaining.insert(remaining.end(), 2, large);
    SteadyTime lastTurn = start;
    SteadyTime usualEnd;
    size_t written = 0;
    while (*std::max_element(remaining.begin(), remaining.end()) > 0) {
        // Each response asks for its next turn when the former piece has been written.
        for (size_t index = 0; index < remaining.size(); ++index) {
            if (remaining[index] == 0)
                continue;
            const size_t bytes = std::min(piece, remaining[index]);
            lastTurn = std::max(lastTurn, budget.reserveStreamTurn(bytes, lastTurn));
            remaining[index] -= bytes;
            written += bytes;
            if (index < 15)
                usualEnd = lastTurn;
        }
        const std::chrono::duration<double> elapsed = lastTurn - start;
        // The small part of the time that the streams may be ahead, and one round of pieces.
        CHECK_TRUE(static_cast<double>(written) <= 1.25e6 * (elapsed.count() + 0.01) + 17 * piece);
    }
    CHECK_TRUE(usualEnd < start + Milliseconds(2000));
    CHECK_TRUE(lastTurn < start + Milliseconds(3000));
}
