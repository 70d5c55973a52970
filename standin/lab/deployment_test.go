package lab

import (
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestExamplesMatchDeployments(t *testing.T) {
	Convey("The committed example configurations match the deployments", t, func() {
		for _, deployment := range []Deployment{HuronBay(), Bokveld()} {
			raw, err := os.ReadFile("../../examples/" + deployment.Name + "/configuration.json")
			So(err, ShouldBeNil)
			So(string(raw), ShouldEqual, string(deployment.Configuration("127.0.0.1", 1, 1).JSON()))
		}
	})
}
