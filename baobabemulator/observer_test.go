package baobabemulator

import (
	"testing"
	"time"

	"github.com/baobabdale/baobabdale/baobaboperator"
)

// TestObserverOldView guards against a wait that ends by the view of a process that was killed before the wait began.
func TestObserverOldView(t *testing.T) {
	n := &MeshNode{id: "n1"}
	o := &Observer{
		nodes: []*MeshNode{n}, lastViews: map[string]baobaboperator.NodeView{}, clearedAt: map[string]time.Time{},
		servedVersions: map[string]uint64{}, digests: map[uint64]string{}, violations: map[string]bool{},
	}
	asked := time.Now()
	o.clearLastViews(asked.Add(time.Millisecond), o.nodes)
	o.recordView(asked, "n1", baobaboperator.NodeView{Node: "n1", Ready: true})
	if v := o.LastView(n); v.Node != "" {
		t.Errorf("view %+v that was asked for before the wait", v)
	}
	o.recordView(asked.Add(2*time.Millisecond), "n1", baobaboperator.NodeView{Node: "n1", Ready: true})
	if v := o.LastView(n); v.Node != "n1" {
		t.Errorf("view %+v, want that of n1", v)
	}
}
