#pragma once

#include <wagtailrack/base/Clock.h>
#include <wagtailrack/base/Error.h>
#include <wagtailrack/process/MemberView.h>
#include <wagtailrack/version/TableVersion.h>

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace wagtailrack::process {

// Builds the JSON answers of GET /.wagtailrack/lookup. What does not depend on the caller's client block is kept for
// each version and view, so an answer costs one ordering and the joining of prepared texts. Lives for the process;
// may be called by any thread.
//
//     auto answer = lookups.answer(query["service"], query["block"]);
//     if (!answer)
//         return refuse(answer.error());
class LookupService {
public:
    // Most instances in an answer: all of today's, and a small answer at the target size. The last quarter is kept
    // for other regions when the home region alone would fill it.
    static constexpr size_t maxInstances = 16;

    // `version` and `view` give the current state, null when there is none yet. `validity`: for how long callers may
    // use an answer.
    LookupService(const Clock& clock, std::function<version::TableVersionPointer()> version,
        std::function<MemberViewPointer()> view, Milliseconds validity);
    ~LookupService();

    // `service` is the name of a route; empty for an order that depends on no pool. `block` is an address of the
    // caller's client block. Fails with NotReady without tables or view, UnknownName for a service that is not in the
    // tables, MissingKey without a block, AddressInvalid for a block that is no IPv4 address.
    Result<std::string> answer(std::string_view service, std::string_view block);

private:
    class Prepared;

    std::shared_ptr<Prepared> prepared(version::TableVersionPointer version, MemberViewPointer view);

    const Clock& clock;
    const std::function<version::TableVersionPointer()> currentVersion;
    const std::function<MemberViewPointer()> currentView;
    const Milliseconds validity;
    std::mutex mutex;
    std::shared_ptr<Prepared> latest;
};

}
